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
	// processTimeout bounds a query to one process.
	processTimeout = 600 * time.Millisecond
	// zoneTimeout bounds a query to an entry that gathers for its zone.
	zoneTimeout = 1900 * time.Millisecond
	// maxZoneContacts bounds the entries of another zone that are tried.
	maxZoneContacts = 3
	// maxCalls bounds the concurrent queries of one gatherer.
	maxCalls = 16
	// maxRows bounds the rows of a peer reply.
	maxRows = 8000
	// maxReplyBytes bounds an encoded peer reply.
	maxReplyBytes = codec.MaxMessageBytes * 3 / 4
	// MaxEvents bounds the events of one answer.
	MaxEvents = 4000
)

// gatherer queries processes concurrently and collects their replies. It is safe for
// concurrent use.
type gatherer struct {
	slots chan struct{}
	wg    sync.WaitGroup

	// mu is a leaf lock.
	mu    sync.Mutex
	reply peerReply
}

func newGatherer() *gatherer { return &gatherer{slots: make(chan struct{}, maxCalls)} }

// run calls f on its own goroutine, at most maxCalls at a time.
func (g *gatherer) run(f func()) {
	g.wg.Go(func() {
		g.slots <- struct{}{}
		defer func() { <-g.slots }()
		f()
	})
}

func (g *gatherer) addMissing(process, format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reply.Missing = append(g.reply.Missing, answer.Missing{Process: process, Reason: fmt.Sprintf(format, args...)})
}

func (g *gatherer) add(reply *peerReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reply.Processes = append(g.reply.Processes, reply.Processes...)
	g.reply.Missing = append(g.reply.Missing, reply.Missing...)
	g.reply.Events = append(g.reply.Events, reply.Events...)
	g.reply.Unreached = append(g.reply.Unreached, reply.Unreached...)
	g.reply.Truncated = g.reply.Truncated || reply.Truncated
	g.reply.Rows = appendRows(g.reply.Rows, reply.Rows)
	g.reply.Candidates = appendRows(g.reply.Candidates, reply.Candidates)
}

func appendRows(a, b *table.Table) *table.Table {
	if a == nil {
		return b
	}
	if b != nil {
		a.Rows = append(a.Rows, b.Rows...)
	}
	return a
}

// gatherFleet gathers from all zones.
func (s *Service) gatherFleet(ctx context.Context, q peerQuery) *peerReply {
	g := newGatherer()
	g.run(func() { g.add(s.gatherZone(ctx, q)) })
	forZone := q
	forZone.Zone = true
	for _, zone := range s.otherZones() {
		g.run(func() { s.queryZone(ctx, g, zone, forZone) })
	}
	g.wg.Wait()
	return mergeAndBound(q, &g.reply)
}

// otherZones returns each other zone that is in the membership or the
// configuration, with its contacts.
func (s *Service) otherZones() []member.ZoneStatus {
	zones := s.deps.Members.Zones()
	known := map[id.Zone]bool{s.deps.Zone: true}
	for _, z := range zones {
		known[z.Name] = true
	}
	for _, e := range s.deps.Snapshot().Endpoints() {
		if !known[e.Zone] {
			known[e.Zone] = true
			zones = append(zones, member.ZoneStatus{Name: e.Zone})
		}
	}
	return zones
}

// queryZone queries the contacts of a zone in turn until one replies.
func (s *Service) queryZone(ctx context.Context, g *gatherer, z member.ZoneStatus, q peerQuery) {
	contacts := z.Contacts
	if len(contacts) == 0 {
		contacts = s.deps.Members.RemotePeers()
	}
	reason := "no entry of the zone is known"
	for _, p := range contacts[:min(len(contacts), maxZoneContacts)] {
		reply, err := s.queryPeer(ctx, p.Address, q, zoneTimeout)
		if err == nil {
			g.add(reply)
			return
		}
		reason = fmt.Sprintf("entry %s: %v", p.Host, err)
	}
	g.addMissing("zone "+string(z.Name), "%s", reason)
}

// gatherZone gathers from the entries of the local zone, and events also from its agents.
func (s *Service) gatherZone(ctx context.Context, q peerQuery) *peerReply {
	q.Zone = false
	g := newGatherer()
	g.run(func() { g.add(s.gatherLocal(q)) })
	for _, p := range s.deps.Members.Members() {
		if p.Host == s.deps.Host {
			continue
		}
		if p.State == member.Dead {
			g.addMissing(string(p.Host), "the host is dead")
			continue
		}
		g.run(func() {
			reply, err := s.queryPeer(ctx, p.Address, q, processTimeout)
			if err != nil {
				g.addMissing(string(p.Host), "%v", err)
				return
			}
			g.add(reply)
		})
	}
	if q.Events != nil {
		g.run(func() { g.add(s.gatherAgentEvents(ctx, q)) })
	}
	g.wg.Wait()
	return mergeAndBound(q, &g.reply)
}

// gatherLocal returns the data of this process.
func (s *Service) gatherLocal(q peerQuery) *peerReply {
	now := time.Now()
	reply := &peerReply{Processes: []string{string(s.deps.Host)}}
	switch {
	case q.Kind != "":
		reply.Rows = s.rows(q.Kind, now)
	case q.Request != "":
		reply.Rows, reply.Candidates = s.deps.Requests.explain(q.Request, s.deps.Host, now)
	case q.Events != nil:
		reply.Events = timeline.Select(s.deps.Ring, eventFilter(q.Events))
	}
	return reply
}

// queryPeer queries another entry.
func (s *Service) queryPeer(ctx context.Context, address string, q peerQuery, timeout time.Duration) (*peerReply, error) {
	payload, err := codec.Marshal(q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := s.deps.Caller.Call(ctx, address, payload)
	if err != nil {
		return nil, err
	}
	reply := new(peerReply)
	if err := codec.Unmarshal(data, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Handle answers the query of another entry. It is a transport.Handler.
func (s *Service) Handle(ctx context.Context, payload []byte) ([]byte, error) {
	var q peerQuery
	if err := codec.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	var reply *peerReply
	switch {
	case len(q.Agents) > 0:
		reply = s.queryAgents(ctx, q.Agents, q.Events)
	case q.Zone:
		reply = s.gatherZone(ctx, q)
	default:
		reply = mergeAndBound(q, s.gatherLocal(q))
	}
	return encodeBounded(reply)
}

// encodeBounded encodes a reply and halves its rows and events until it fits into a message.
func encodeBounded(reply *peerReply) ([]byte, error) {
	for {
		data, err := codec.Marshal(reply)
		if err != nil || len(data) <= maxReplyBytes {
			return data, err
		}
		reply.Truncated = true
		reply.Events = reply.Events[len(reply.Events)/2:]
		if reply.Rows != nil {
			reply.Rows.Rows = reply.Rows.Rows[:len(reply.Rows.Rows)/2]
		}
		if len(reply.Events) <= 1 && (reply.Rows == nil || len(reply.Rows.Rows) <= 1) {
			return nil, &codec.TooLargeError{Bytes: len(data)}
		}
	}
}

// mergeAndBound merges rows with equal keys, sorts the reply and enforces its limits.
func mergeAndBound(q peerQuery, reply *peerReply) *peerReply {
	slices.Sort(reply.Processes)
	slices.SortFunc(reply.Missing, func(x, y answer.Missing) int { return slices.Compare([]string{x.Process}, []string{y.Process}) })
	if reply.Rows != nil && q.Kind != "" {
		mergeRows(q.Kind, reply.Rows)
		if len(reply.Rows.Rows) > maxRows {
			reply.Rows.Rows = reply.Rows.Rows[:maxRows]
			reply.Truncated = true
		}
	}
	timeline.Sort(reply.Events)
	if q.Events != nil && len(reply.Events) > clampEventLimit(q.Events.Limit) {
		reply.Events = reply.Events[len(reply.Events)-clampEventLimit(q.Events.Limit):]
		reply.Truncated = true
	}
	return reply
}

// mergeRows keeps one row for each key, in key order.
func mergeRows(k lang.Kind, t *table.Table) {
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
		if supersedes(k, t, r, out[at]) {
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

// supersedes reports whether row a replaces row b of the same key: it has a newer
// report or version, is the host's own row, or has a known state.
func supersedes(k lang.Kind, t *table.Table, a, b table.Row) bool {
	switch k {
	case lang.Endpoints:
		age := t.ColumnIndex("report_age_ms")
		if a[age].Type == table.NullType || b[age].Type == table.NullType {
			return b[age].Type == table.NullType && a[age].Type != table.NullType
		}
		return a[age].Number < b[age].Number
	case lang.Hosts:
		name, by, state := 0, t.ColumnIndex("seen_by"), t.ColumnIndex("state")
		if self := a[by] == a[name]; self != (b[by] == b[name]) {
			return self
		}
		return b[state].Type == table.NullType && a[state].Type != table.NullType
	}
	version := t.ColumnIndex("version")
	return version >= 0 && a[version].Number > b[version].Number
}
