package routes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

func config() Config {
	to := func(s id.Service) []WeightedService { return []WeightedService{{Service: s, Weight: 1}} }
	return Config{
		Version:  3,
		Services: []Service{{Name: "s"}, {Name: "t", Engine: &Engine{Slots: 4}}},
		Routes: []Route{
			{Name: "all", Host: "h.example", Prefix: "/", Kind: Idempotent, MaxAttempts: 1, Split: to("s")},
			{Name: "a", Host: "H.example", Prefix: "/a/", Kind: Streaming, MaxAttempts: 2, Resumable: true, Split: to("t")},
			{Name: "ab", Host: "h.example", Prefix: "/a/b/", Kind: NonIdempotent, MaxAttempts: 1, Split: to("s")},
		},
		Teams: []Team{{Name: "u", Keys: []string{"k1", "k2"}}, {Name: "v", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table, err := NewTable(config())
	assert.NilError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/x", "all"},
		{"h.example:8080", "/a/x", "a"},
		{"H.EXAMPLE", "/a/b/c", "ab"},
		{"h.example", "/a", "all"},
		{"other.example", "/a/b/c", ""},
		{"[::1]", "/", ""},
	} {
		got := ""
		if r := table.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
	assert.Assert(t, table.RequiresKey())
	assert.Equal(t, table.Team("k2").Name, id.Team("u"))
	assert.Assert(t, table.Team("k4") == nil)
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Split: []WeightedService{{Service: "s", Weight: 900}, {Service: "t", Weight: 100}, {Service: "u", Weight: 0}}}
	counts := make(map[id.Service]int)
	const picks = 10_000
	for range picks {
		counts[r.Pick()]++
	}
	// Eight standard deviations of a share of a tenth.
	assert.Assert(t, counts["t"] > picks/10-240 && counts["t"] < picks/10+240, "%v", counts)
	assert.Equal(t, counts["u"], 0)
	assert.Equal(t, (&Route{}).Pick(), id.Service(""))
}

// TestAllFindingsAtOnce: each finding names the object, the field and the value.
func TestAllFindingsAtOnce(t *testing.T) {
	c := config()
	c.Services = append(c.Services, Service{Name: "s"}, Service{}, Service{Name: "e", Engine: &Engine{}})
	c.Routes[0].Kind = "odd"
	c.Routes[1].Split = []WeightedService{{Service: "nowhere", Weight: 1}}
	c.Routes[2].Prefix, c.Routes[2].MaxAttempts = "a", 0
	c.Routes = append(c.Routes, Route{Name: "n", Prefix: "/", Kind: Idempotent, MaxAttempts: 1, Split: []WeightedService{{Service: "s", Weight: -1}}})
	c.Teams[1].Keys = []string{"k1"}
	_, err := NewTable(c)
	for _, want := range []string{
		`services[2] "s": is defined twice`, `services[3] "": has no name`, `services[4] "e".engine.slots: 0 is not positive`,
		`routes[0] "all".kind: "odd" is unknown`, `routes[1] "a".service: "nowhere" is not defined`,
		`routes[2] "ab".prefix: "a" does not begin`, `routes[2] "ab".attempts: 0 is less than 1`,
		`routes[3] "n".weight: -1 is negative`, `routes[3] "n".service: no service has a weight`,
		`teams[1] "v": shares a key with team "u"`,
	} {
		assert.ErrorContains(t, err, want)
	}
}
