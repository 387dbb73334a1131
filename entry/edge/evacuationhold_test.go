package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// zoneObjects returns evacuation objects as read in an era.
func zoneObjects(era uint64, zones ...string) []objectapi.Object {
	var out []objectapi.Object
	for i, z := range zones {
		out = append(out, objectapi.Object{Kind: "evacuations", Name: z, Created: objectapi.ComposeVersion(era, uint64(10+i))})
	}
	return out
}

// TestOlderCopyDoesNotUndoAnEvacuation guards against a store that comes back from a copy without the newest evacuation, or with one that
// was ended: requests reach the zone, or keep away from it, until the operator writes his change again.
func TestOlderCopyDoesNotUndoAnEvacuation(t *testing.T) {
	cases := map[string]struct {
		before, ended, copied []string
		rewritten             func(*evacuationLog)
		held, later           []id.Zone
	}{
		"missing in the copy":                 {before: []string{"a"}, held: []id.Zone{"a"}, later: []id.Zone{}},
		"missing and written again":           {before: []string{"a"}, rewritten: func(l *evacuationLog) { l.applyEvents(zoneObjects(1, "a"), objectapi.ComposeVersion(1, 30)) }, held: []id.Zone{"a"}, later: []id.Zone{"a"}},
		"ended, and still in the copy":        {before: []string{"a"}, ended: []string{"a"}, copied: []string{"a"}, held: []id.Zone{}, later: []id.Zone{"a"}},
		"the copy has another one":            {before: []string{"a"}, copied: []string{"b"}, held: []id.Zone{"a", "b"}, later: []id.Zone{"b"}},
		"the copy has the same, none is held": {before: []string{"a"}, copied: []string{"a"}, held: []id.Zone{"a"}, later: []id.Zone{"a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newEvacuationLog()
				l.replace(zoneObjects(0, c.before...), 20)
				for _, z := range c.ended {
					l.applyEvents([]objectapi.Object{{Kind: "evacuations", Name: z, Created: 10, Deleted: true}}, 21)
				}
				inForce := func() []id.Zone {
					zones, _ := l.evacuations.zones()
					out := []id.Zone{}
					for _, z := range zones {
						out = append(out, z.Name)
					}
					return out
				}
				l.replace(zoneObjects(1, c.copied...), objectapi.ComposeVersion(1, 15))
				assert.DeepEqual(t, inForce(), c.held)
				time.Sleep(time.Second)
				if c.rewritten != nil {
					c.rewritten(l)
				}
				assert.DeepEqual(t, inForce(), c.held)
				time.Sleep(holdTime)
				assert.DeepEqual(t, inForce(), c.later)
				last := l.applied[len(l.applied)-1]
				assert.DeepEqual(t, last, c.later)
			})
		})
	}
}
