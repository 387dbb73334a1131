package evacuation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const limit = 2 * time.Second

// TestWaitEnds guards against an entry that waits for the set for longer than allowed.
func TestWaitEnds(t *testing.T) {
	w := Wait{Limit: limit}
	assert.Assert(t, !w.Over(start.Add(time.Hour)), "nothing to serve yet")
	assert.Assert(t, !w.Configured(start), "no endpoints yet")
	assert.Assert(t, !w.Over(start.Add(limit-1)))
	assert.Assert(t, w.Over(start.Add(limit)), "an entry without endpoints")
}

// TestWaitBeginsOnceEntryCanServe guards against a wait that has passed when the store returns after
// a long time: the configuration and the endpoints may arrive before the set.
func TestWaitBeginsOnceEntryCanServe(t *testing.T) {
	for name, steps := range map[string][2]func(*Wait, time.Time) bool{
		"endpoints last":     {(*Wait).Configured, (*Wait).HasEndpoints},
		"configuration last": {(*Wait).HasEndpoints, (*Wait).Configured},
	} {
		t.Run(name, func(t *testing.T) {
			w := Wait{Limit: limit}
			assert.Assert(t, !steps[0](&w, start))
			late := start.Add(10 * time.Second)
			assert.Assert(t, steps[1](&w, late))
			assert.Assert(t, !w.Over(late.Add(limit-1)))
			assert.Assert(t, !w.Configured(late.Add(time.Second)), "later ones do not prolong it")
			assert.Assert(t, !w.HasEndpoints(late.Add(time.Second)))
			assert.Assert(t, w.Over(late.Add(limit)))
		})
	}
}
