package operator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/operate/answer"
	"github.com/siskinford/siskinford/operate/lang"
	"github.com/siskinford/siskinford/operate/table"
	"github.com/siskinford/siskinford/wire/codec"
)

const (
	// processTimeout bounds a question to one process.
	processTimeout = 600 * time.Millisecond
	// zoneTimeout bounds a question to an entry that gathers for its zone.
	zoneTimeout = 1900 * time.Millisecond
	// maxZoneContacts bounds the entries of a zone that are tried.
	maxZoneContacts = 3
	// maxCalls bounds the questions that are open at the same time.
	maxCalls = 16
	// maxRows bounds the rows of one answer between entries.
	maxRows = 8000
	// maxAnswerBytes bounds an encoded answer between entries.
	maxAnswerBytes = codec.MaxMessageBytes * 3 / 4
	// MaxEvents bounds the events of one answer.
	MaxEvents = 4000
)

// gathering collects answers. It is safe for concurrent use.
type gathering struct {
	slots chan struct{}
	wg    sync.WaitGroup

	// mu is a leaf lock.
	mu   sync.Mutex
	told told
}

func newGathering() *gathering { return &gathering{slots: make(chan struct{}, maxCalls)} }

// run calls f on a goroutine of its own, of which there is a bounded number.
func (g *gathering) run(f func()) {
	g.wg.Go(func() {
		g.slots <- struct{}{}
		defer func() { <-g.slots }()
		f()
	})
}

func (g *gathering) missing(process, format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told.Missing = append(g.told.Missing, answer.Missing{Process: process, Reason: fmt.Sprintf(format, args...)})
}

func (g *gathering) add(t *told) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told.Processes = append(g.told.Processes, t.Processes...)
	g.told.Missing = append(g.told.Missing, t.Missing...)
	g.told.Events = append(g.told.Events, t.Events...)
	g.told.Unreached = append(g.told.Unreached, t.Unreached...)
	g.told.Truncated = g.told.Truncated || t.Truncated
	g.told.Rows = join(g.told.Rows, t.Rows)
	g.told.Candidates = join(g.told.Candidates, t.Candidates)
}

func join(a, b *table.Table) *table.Table {
	if a == nil {
		return b
	}
	if b != nil {
		a.Rows = append(a.Rows, b.Rows...)
	}
	return a
}

// fleet gathers from all zones.
func (s *Service) fleet(ctx context.Context, a ask) *told {
	g := newGathering()
	g.run(func() { g.add(s.zone(ctx, a)) })
	forZone := a
	forZone.Zone = true
	for _, zone := range s.otherZones() {
		g.run(func() { s.askZone(ctx, g, zone, forZone) })
	}
	g.wg.Wait()
	return finish(a, &g.told)
}

// otherZones returns the contacts of each other zone that is known by the
// membership or by the configuration.
func (s *Service) otherZones() []member.Zone {
	zones := s.deps.Members.Zones()
	known := map[id.Zone]bool{s.deps.Zone: true}
	for _, z := range zones {
		known[z.Name] = true
	}
	for _, e := range s.deps.Snapshot().Endpoints() {
		if !known[e.Zone] {
			known[e.Zone] = true
			zones = append(zones, member.Zone{Name: e.Zone})
		}
	}
	return zones
}

// askZone asks the contacts of a zone in turn until one answers.
func (s *Service) askZone(ctx context.Context, g *gathering, z member.Zone, a ask) {
	contacts := z.Contacts
	if len(contacts) == 0 {
		contacts = s.deps.Members.Elsewhere()
	}
	reason := "no entry of the zone is known"
	for _, p := range contacts[:min(len(contacts), maxZoneContacts)] {
		t, err := s.call(ctx, p.Address, a, zoneTimeout)
		if err == nil {
			g.add(t)
			return
		}
		reason = fmt.Sprintf("entry %s: %v", p.Host, err)
	}
	g.missing("zone "+string(z.Name), "%s", reason)
}

// zone gathers from the entries of the own zone, and events also from its agents.
func (s *Service) zone(ctx context.Context, a ask) *told {
	a.Zone = false
	g := newGathering()
	g.run(func() { g.add(s.local(a)) })
	for _, p := range s.deps.Members.Members() {
		if p.Host == s.deps.Host {
			continue
		}
		if p.State == member.Dead {
			g.missing(string(p.Host), "the host is dead")
			continue
		}
		g.run(func() {
			t, err := s.call(ctx, p.Address, a, processTimeout)
			if err != nil {
				g.missing(string(p.Host), "%v", err)
				return
			}
			g.add(t)
		})
	}
	if a.Events != nil {
		g.run(func() { g.add(s.zoneAgents(ctx, a)) })
	}
	g.wg.Wait()
	return finish(a, &g.told)
}

// local returns what this process knows itself.
func (s *Service) local(a ask) *told {
	now := time.Now()
	t := &told{Processes: []string{string(s.deps.Host)}}
	switch {
	case a.Kind != "":
		t.Rows = s.rows(a.Kind, now)
	case a.Request != "":
		t.Rows, t.Candidates = s.deps.Requests.explain(a.Request, s.deps.Host, now)
	case a.Events != nil:
		t.Events = timeline.Select(s.deps.Ring, filter(a.Events))
	}
	return t
}

// call asks another entry.
func (s *Service) call(ctx context.Context, address string, a ask, timeout time.Duration) (*told, error) {
	payload, err := codec.Marshal(a)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := s.deps.Caller.Call(ctx, address, payload)
	if err != nil {
		return nil, err
	}
	t := new(told)
	if err := codec.Unmarshal(data, t); err != nil {
		return nil, err
	}
	return t, nil
}

// Handle answers the question of another entry. It is a transport.Handler.
func (s *Service) Handle(ctx context.Context, payload []byte) ([]byte, error) {
	var a ask
	if err := codec.Unmarshal(payload, &a); err != nil {
		return nil, err
	}
	var t *told
	switch {
	case len(a.Agents) > 0:
		t = s.askAgents(ctx, a.Agents, a.Events)
	case a.Zone:
		t = s.zone(ctx, a)
	default:
		t = finish(a, s.local(a))
	}
	return encode(t)
}

// encode encodes an answer and drops rows and events until it fits into a message.
func encode(t *told) ([]byte, error) {
	for {
		data, err := codec.Marshal(t)
		if err != nil || len(data) <= maxAnswerBytes {
			return data, err
		}
		t.Truncated = true
		t.Events = t.Events[len(t.Events)/2:]
		if t.Rows != nil {
			t.Rows.Rows = t.Rows.Rows[:len(t.Rows.Rows)/2]
		}
		if len(t.Events) <= 1 && (t.Rows == nil || len(t.Rows.Rows) <= 1) {
			return nil, &codec.TooLargeError{Bytes: len(data)}
		}
	}
}

// finish merges rows that are about the same thing and applies the bounds.
func finish(a ask, t *told) *told {
	slices.Sort(t.Processes)
	slices.SortFunc(t.Missing, func(x, y answer.Missing) int { return slices.Compare([]string{x.Process}, []string{y.Process}) })
	if t.Rows != nil && a.Kind != "" {
		merge(a.Kind, t.Rows)
		if len(t.Rows.Rows) > maxRows {
			t.Rows.Rows = t.Rows.Rows[:maxRows]
			t.Truncated = true
		}
	}
	timeline.Sort(t.Events)
	if a.Events != nil && len(t.Events) > limit(a.Events.Limit) {
		t.Events = t.Events[len(t.Events)-limit(a.Events.Limit):]
		t.Truncated = true
	}
	return t
}

// merge keeps one row for each key, the one that knows most, in order of the keys.
func merge(k lang.Kind, t *table.Table) {
	_, keys := lang.Columns(k)
	kept := make(map[string]int, len(t.Rows))
	var out []table.Row
	for _, r := range t.Rows {
		key := rowKey(r[:keys])
		at, ok := kept[key]
		if !ok {
			kept[key] = len(out)
			out = append(out, r)
			continue
		}
		if better(k, t, r, out[at]) {
			out[at] = r
		}
	}
	slices.SortFunc(out, func(a, b table.Row) int { return slices.CompareFunc(a[:keys], b[:keys], table.Compare) })
	t.Rows = out
}

func rowKey(r table.Row) string {
	var key []byte
	for _, v := range r {
		key = fmt.Appendf(key, "%d:%s\x00", v.Type, v)
	}
	return string(key)
}

// better reports whether row a knows more than row b of the same key.
func better(k lang.Kind, t *table.Table, a, b table.Row) bool {
	switch k {
	case lang.Endpoints:
		age := t.Column("report_age_ms")
		if a[age].Type == table.NullType || b[age].Type == table.NullType {
			return b[age].Type == table.NullType && a[age].Type != table.NullType
		}
		return a[age].Number < b[age].Number
	case lang.Hosts:
		name, by, state := 0, t.Column("seen_by"), t.Column("state")
		if self := a[by] == a[name]; self != (b[by] == b[name]) {
			return self
		}
		return b[state].Type == table.NullType && a[state].Type != table.NullType
	}
	version := t.Column("version")
	return version >= 0 && a[version].Number > b[version].Number
}
