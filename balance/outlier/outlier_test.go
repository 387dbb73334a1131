package outlier

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// runRequests records requests to all endpoints in turn and returns the suspect ones.
func runRequests(d *Detector, endpoints, requests int, fails func(endpoint, turn int) bool) map[id.Endpoint]bool {
	suspect := make(map[id.Endpoint]bool)
	var now time.Duration
	for turn := range requests {
		for e := range endpoints {
			now += 10 * time.Millisecond
			name := id.Endpoint(fmt.Sprint("e", e))
			if d.Record(name, !fails(e, turn), now) > now {
				suspect[name] = true
			}
		}
	}
	return suspect
}

func TestDetector(t *testing.T) {
	cases := map[string]struct {
		endpoints int
		fails     func(endpoint, turn int) bool
		want      []id.Endpoint
	}{
		"healthy":                         {4, func(int, int) bool { return false }, nil},
		"a seventh of all requests fails": {3, func(e, turn int) bool { return (turn+e)%7 == 0 }, nil},
		"one fails often":                 {3, func(e, turn int) bool { return e == 1 && turn%5 < 2 }, []id.Endpoint{"e1"}},
		"one fails always":                {16, func(e, _ int) bool { return e == 7 }, []id.Endpoint{"e7"}},
		"all fail":                        {4, func(int, int) bool { return true }, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := runRequests(New(Config{}), c.endpoints, 40, c.fails)
			for _, e := range c.want {
				assert.Assert(t, got[e], "%s is not suspect", e)
			}
			if name != "all fail" {
				assert.Equal(t, len(got), len(c.want))
			}
			assert.Assert(t, len(got) <= max(1, c.endpoints/2))
		})
	}
}

func TestSuspicionGrowsAndEnds(t *testing.T) {
	d := New(Config{})
	var now time.Duration
	fail := func() time.Duration {
		var until time.Duration
		for range 4 {
			d.Record("good", true, now)
			until = d.Record("bad", false, now)
			now += 10 * time.Millisecond
			if until > now {
				break
			}
		}
		return until - now
	}
	first := fail()
	assert.Assert(t, first > 900*time.Millisecond && first <= time.Second)
	now += first + time.Millisecond
	second := fail()
	assert.Assert(t, second > 1900*time.Millisecond, "second suspicion lasts %v", second)
	now += second + time.Millisecond
	assert.Assert(t, d.Record("bad", true, now) <= now)
}

// TestHungEndpoint checks that one hung request makes an endpoint suspect, but
// never more than a third of the endpoints when all of them hang.
func TestHungEndpoint(t *testing.T) {
	d := New(Config{})
	for range 3 {
		for _, e := range []id.Endpoint{"a", "b", "c"} {
			d.Record(e, true, 0)
		}
	}
	now := 2 * time.Second
	d.Record("b", true, now)
	assert.Assert(t, d.RecordHang("a", now) > now)
	now += time.Millisecond
	assert.Assert(t, d.RecordHang("b", now) <= now, "a third of the endpoints at most is suspect")
	assert.Assert(t, d.Record("a", true, now+2*time.Second) <= now+2*time.Second)
}

func TestRetain(t *testing.T) {
	d := New(Config{})
	d.Record("a", false, 0)
	d.Retain(func(id.Endpoint) bool { return false })
	assert.Equal(t, len(d.endpoints), 0)
}
