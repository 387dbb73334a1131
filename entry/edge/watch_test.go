package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentWatchEndsWithinStableWindow guards against connections to the platform that fall silent
// right after a change, at all entries at once: a removed key or endpoint stays in use for as long
// as the watches last.
func TestSilentWatchEndsWithinStableWindow(t *testing.T) {
	for _, c := range []struct{ limit, stableWindow time.Duration }{
		{2 * time.Second, 3 * time.Second},
		{3 * time.Second, 4 * time.Second},
		{4 * time.Second, 5 * time.Second},
		{2500 * time.Millisecond, 3500 * time.Millisecond},
	} {
		for _, alone := range []bool{false, true} {
			wait := watchWait(c.limit, c.stableWindow, alone, 0)
			assert.Assert(t, wait+watchGrace+watchRenewal <= c.stableWindow, "limit %v, alone %v: the watch lasts %v", c.limit, alone, wait)
			assert.Assert(t, watchWait(c.limit, c.stableWindow, alone, watchJitter) >= wait/2, "entries renew their watches too often")
		}
	}
	assert.Assert(t, watchWait(time.Second, 100*time.Millisecond, false, 0) >= minWatchWait)
}

// TestRenewalCoversBackOff ties the allowance for a new watch to what delays it.
func TestRenewalCoversBackOff(t *testing.T) {
	assert.Assert(t, storeBackoffMin+time.Second/watchRate < watchRenewal)
}
