package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIsolation guards against an entry that keeps its zone's clients although it can reach nothing, and against
// a fleet that stops answering readiness checks because its endpoints are down.
func TestIsolation(t *testing.T) {
	const interval = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		unreachable bool
		silence     time.Duration
		heard       bool
		interval    time.Duration
		want        bool
	}{
		"in touch":                           {false, 100 * time.Millisecond, true, interval, false},
		"endpoints down, others heard":       {true, 200 * time.Millisecond, true, interval, false},
		"others silent, endpoints reachable": {false, 5 * time.Second, true, interval, false},
		"cut off":                            {true, 600 * time.Millisecond, true, interval, true},
		"cut off, slow exchanges":            {true, 600 * time.Millisecond, true, time.Second, false},
		"cut off, slow exchanges, longer":    {true, 2600 * time.Millisecond, true, time.Second, true},
		"no other zone":                      {true, time.Hour, false, interval, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var i isolation
			assert.Equal(t, i.update(c.unreachable, c.silence, c.heard, c.interval, now), c.want)
			assert.Equal(t, i.isolated, c.want)
			assert.Equal(t, i.elsewhereAfter(now) >= 0, c.want)
		})
	}
}

// TestIsolationTellsWhenOthersTakeOver checks the time that refused clients are told: until the platform has noticed
// that the entry is not ready, and none once the entry is back.
func TestIsolationTellsWhenOthersTakeOver(t *testing.T) {
	var i isolation
	now := time.Unix(1000, 0)
	assert.Assert(t, i.update(true, time.Second, true, 0, now))
	assert.Equal(t, i.elsewhereAfter(now), unreadyDetectionTime)
	assert.Equal(t, i.elsewhereAfter(now.Add(time.Second)), unreadyDetectionTime-time.Second)
	assert.Equal(t, i.elsewhereAfter(now.Add(time.Minute)), time.Duration(0))
	assert.Assert(t, !i.update(true, time.Second, true, 0, now.Add(time.Second)))
	assert.Assert(t, i.update(true, 0, true, 0, now.Add(2*time.Second)))
	assert.Equal(t, i.elsewhereAfter(now.Add(2*time.Second)), time.Duration(-1))
}
