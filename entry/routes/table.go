package routes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
)

// Table is one validated version of the configuration with its indexes. It is immutable.
type Table struct {
	config   Config
	hosts    map[string][]*Route // longest prefix first
	services map[id.Service]*Service
	teams    map[string]*Team
}

// NewTable validates and indexes a configuration. The error is a finding.List.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		config:   c,
		hosts:    make(map[string][]*Route),
		services: make(map[id.Service]*Service, len(c.Services)),
		teams:    make(map[string]*Team),
	}
	var found finding.List
	t.addServices(&found)
	t.addRoutes(&found)
	t.addTeams(&found)
	if err := found.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Table) addServices(found *finding.List) {
	for i := range t.config.Services {
		s := &t.config.Services[i]
		place := fmt.Sprintf("services[%d] %q", i, string(s.Name))
		if s.Name == "" {
			found.Addf(place, "has no name")
		}
		if t.services[s.Name] != nil {
			found.Addf(place, "is defined twice")
		}
		if s.Engine != nil {
			found.Merge(place+".engine", s.Engine.validate())
		}
		s.RoutePriorities = nil
		if s.ColdRate < 0 || s.ColdStart < 0 {
			found.Addf(place+".cold", "%v a second for %v is negative", s.ColdRate, s.ColdStart)
		}
		t.services[s.Name] = s
	}
}

func (t *Table) addRoutes(found *finding.List) {
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		found.Merge(fmt.Sprintf("routes[%d] %q", i, r.Name), t.checkRoute(r))
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		for _, split := range r.Split {
			if s := t.services[split.Service]; s != nil && split.Weight > 0 {
				if i, ok := slices.BinarySearch(s.RoutePriorities, r.Priority); !ok {
					s.RoutePriorities = slices.Insert(s.RoutePriorities, i, r.Priority)
				}
			}
		}
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

func (t *Table) checkRoute(r *Route) finding.List {
	var found finding.List
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		found.Addf(".prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Streaming:
	default:
		found.Addf(".kind", "%q is unknown", string(r.Kind))
	}
	if r.MaxAttempts < 1 {
		found.Addf(".attempts", "%d is less than 1", r.MaxAttempts)
	}
	total := 0
	for _, s := range r.Split {
		if t.services[s.Service] == nil {
			found.Addf(".service", "%q is not defined", string(s.Service))
		}
		if s.Weight < 0 {
			found.Addf(".weight", "%d is negative", s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		found.Addf(".service", "no service has a weight")
	}
	return found
}

func (t *Table) addTeams(found *finding.List) {
	for i := range t.config.Teams {
		team := &t.config.Teams[i]
		for _, key := range team.Keys {
			if key == "" { // Requests without a key would be the team's.
				continue
			}
			if other := t.teams[key]; other != nil && other.Name != team.Name {
				found.Addf(fmt.Sprintf("teams[%d] %q", i, string(team.Name)), "shares a key with team %q", string(other.Name))
			}
			t.teams[key] = team
		}
	}
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits for clients.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns all services. The result must not be changed.
func (t *Table) Services() []Service { return t.config.Services }

// Routes returns all routes. The result must not be changed.
func (t *Table) Routes() []Route { return t.config.Routes }

// Service returns a service, or nil.
func (t *Table) Service(name id.Service) *Service { return t.services[name] }

// Route returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether routes that are not public require an API key.
func (t *Table) RequiresKey() bool { return t.config.KeysRequired || len(t.config.Teams) > 0 }

// Team returns the team that holds a key, or nil.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// Pick returns a service of the route, chosen at random in proportion to the weights.
func (r *Route) Pick() id.Service {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, s := range r.Split {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return ""
}
