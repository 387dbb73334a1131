// Package histories checks many seeded histories of callers, entries, agents and
// faults within one process: real agents, connections, dispatchers, claims and
// tickets over loopback, with the back end replaced by a counting witness.
package histories

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/agent/plain"
	"github.com/siskinford/siskinford/agent/server"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/actions"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/fleet/claim"
	"github.com/siskinford/siskinford/fleet/objectapi/faultstore"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
	"github.com/siskinford/siskinford/lab/faultproxy"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

const (
	service     id.Service = "mostrador"
	team        id.Team    = "puno"
	headRequest            = "X-Request"
	headKey                = "Idempotency-Key"
)

// chance is a seeded source of random numbers that is safe for concurrent use.
type chance struct {
	mu     sync.Mutex // leaf lock
	random *rand.Rand
}

func newChance(seed, stream uint64) *chance {
	return &chance{random: rand.New(rand.NewPCG(seed, stream))}
}

func (c *chance) below(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *chance) percent(p int) bool { return c.below(100) < p }

func (c *chance) millis(n int) time.Duration {
	return time.Duration(c.below(n*1000)) * time.Microsecond
}

// witness counts what back ends ran.
type witness struct {
	mu       sync.Mutex // leaf lock
	keys     map[string]int
	requests map[string]int
}

func (w *witness) run(key, request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[request]++
	if key != "" {
		w.keys[key]++
	}
}

// backend is the back end of all endpoints of a history. It implements server.PlainBackend.
type backend struct {
	witness *witness
	chance  *chance
}

var errBroken = errors.New("the back end broke")

func header(p *msg.HTTPRequest, name string) string {
	for _, h := range p.Header {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// answerTo returns the text that a back end answers to a request: a mark of the
// action or the request, and the payload.
func answerTo(p *msg.HTTPRequest) string {
	mark := header(p, headKey)
	if mark == "" {
		mark = header(p, headRequest)
	}
	return "ran " + mark + " with " + string(p.Body)
}

// Do implements server.PlainBackend.
func (b *backend) Do(ctx context.Context, p *msg.HTTPRequest, w plain.Writer) error {
	if ctx.Err() != nil || b.chance.percent(4) {
		return &plain.NotStartedError{Cause: errBroken}
	}
	b.witness.run(header(p, headKey), header(p, headRequest))
	if err := w.Head(msg.ResponseHead{Status: 201}); err != nil {
		return err
	}
	text := answerTo(p)
	for len(text) > 0 {
		wait(ctx, b.chance.millis(8))
		if ctx.Err() != nil || b.chance.percent(2) {
			return errBroken
		}
		n := min(len(text), 1+b.chance.below(40))
		_, _ = w.Write([]byte(text[:n])) // the agent's writer does not fail
		text = text[n:]
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// endpoint is an agent that is restarted now and then.
type endpoint struct {
	name  id.Endpoint
	proxy *faultproxy.UDP

	mu     sync.Mutex // leaf lock
	agent  *server.Agent
	former id.Incarnation
}

func (e *endpoint) current() *server.Agent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.agent
}

// believed returns an incarnation as an entry may believe it, which may be outdated.
func (e *endpoint) believed(outdated bool) id.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if outdated && e.former != "" {
		return e.former
	}
	return e.agent.Incarnation()
}

// entry is the part of an entry that runs requests.
type entry struct {
	dispatcher *dispatch.Dispatcher
	actions    *actions.Actions
	pool       *link.Pool
	claims     *claim.Claimer
}

// world is the fleet of one history.
type world struct {
	keys      *keyRings
	chance    *chance
	witness   *witness
	backend   *backend
	store     *faultstore.Store
	endpoints []*endpoint
	entries   []*entry
	drained   uint64
}

// keyRings are the keys of all processes.
type keyRings struct{ agent, entry *keys.Credentials }

func newKeyRings() (*keyRings, error) {
	authority, err := keys.NewAuthority(24 * time.Hour)
	if err != nil {
		return nil, err
	}
	var rings keyRings
	for role, ring := range map[keys.Role]**keys.Credentials{keys.RoleAgent: &rings.agent, keys.RoleEntry: &rings.entry} {
		material, err := authority.Issue(role, "host", 24*time.Hour)
		if err != nil {
			return nil, err
		}
		if *ring, err = keys.New(material); err != nil {
			return nil, err
		}
	}
	return &rings, nil
}

// linkConfig abandons silent connections early, so that a history sees many of them.
func linkConfig() link.Config {
	c := link.DefaultConfig()
	c.DialTimeout = 100 * time.Millisecond
	c.ProbeInterval = 15 * time.Millisecond
	c.SilenceTimeout = 60 * time.Millisecond
	return c
}

func newWorld(seed uint64, rings *keyRings) (*world, error) {
	w := &world{
		keys:    rings,
		chance:  newChance(seed, 0),
		witness: &witness{keys: map[string]int{}, requests: map[string]int{}},
		store:   faultstore.New(memstore.New(memstore.Config{})),
	}
	w.backend = &backend{witness: w.witness, chance: newChance(seed, 1)}
	for i := range 2 {
		if err := w.addEndpoint(id.Endpoint(fmt.Sprintf("%s-%d", service, i)), seed); err != nil {
			return nil, err
		}
	}
	for range 3 {
		if err := w.addEntry(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) addEndpoint(name id.Endpoint, seed uint64) error {
	e := &endpoint{name: name}
	agent, err := w.startAgent(name, "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.agent = agent
	e.proxy, err = faultproxy.NewUDP(agent.Address(), seed)
	w.endpoints = append(w.endpoints, e)
	return err
}

func (w *world) startAgent(name id.Endpoint, address string) (*server.Agent, error) {
	c := server.DefaultConfig()
	c.Endpoint = name
	c.Host = "host"
	c.Listen = address
	c.Slots = 2
	c.MaxQueue = 3
	c.Link = linkConfig()
	agent, err := server.New(c, server.Deps{
		Plain: w.backend, Keys: w.keys.agent, Log: zerolog.Nop(),
		Ring: timeline.NewRing("agent", 100, timeline.NewClock(time.Now)),
	})
	if err != nil {
		return nil, err
	}
	return agent, agent.Start()
}

const (
	listenInterval = 5 * time.Millisecond
	maxListenTries = 1000
)

// restart ends an agent at once and starts it again at the same address.
func (w *world) restart(e *endpoint) error {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	former := e.current()
	_ = former.Shutdown(ended) // requests are cut off on purpose
	agent, err := w.startAgent(e.name, former.Address())
	for tries := 0; err != nil && tries < maxListenTries; tries++ {
		wait(context.Background(), listenInterval) // the former socket is closed in the background
		agent, err = w.startAgent(e.name, former.Address())
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.agent, e.former = agent, former.Incarnation()
	return nil
}

func (w *world) addEntry() error {
	e := &entry{pool: link.NewPool(linkConfig(), func() *tls.Config { return w.keys.entry.ClientConfig(keys.RoleAgent) })}
	var err error
	e.claims, err = claim.New(claim.Config{Store: w.store, Retention: 30 * time.Minute, Timeout: 100 * time.Millisecond, FlushTimeout: 200 * time.Millisecond})
	if err != nil {
		return err
	}
	c := dispatch.DefaultConfig()
	c.RecoveryTimeout = 150 * time.Millisecond
	c.RecoveryInterval = 10 * time.Millisecond
	c.WithdrawTimeout = 100 * time.Millisecond
	e.dispatcher = dispatch.New(c, dispatch.Deps{
		Picker: w, Table: noTable{}, Budget: retry.NewBudget(retry.Config{}), Directory: w, Pool: e.pool, Recorder: timeline.Discard,
	})
	e.actions = actions.New(actions.Deps{Picker: w, Directory: w, Pool: e.pool, Claimer: actions.NewKeyClaimer(e.claims)})
	w.entries = append(w.entries, e)
	return nil
}

// Pick implements route.Picker by chance, now and then with an outdated incarnation.
func (w *world) Pick(r route.Request) (route.Choice, error) {
	first := w.chance.below(len(w.endpoints))
	for i := range w.endpoints {
		e := w.endpoints[(first+i)%len(w.endpoints)]
		excluded := false
		for _, x := range r.Exclude {
			excluded = excluded || x == e.name
		}
		if !excluded {
			return route.Choice{Endpoint: e.name, Incarnation: e.believed(w.chance.percent(10))}, nil
		}
	}
	return route.Choice{}, &route.NoEndpointError{}
}

// Address implements dispatch.Directory.
func (w *world) Address(name id.Endpoint) (string, bool) {
	for _, e := range w.endpoints {
		if e.name == name {
			return e.proxy.Addr(), true
		}
	}
	return "", false
}

// drain sets the drain state of an endpoint over a connection of its own.
func (w *world) drain(e *endpoint, drain bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	conn, err := w.entries[0].pool.Conn(ctx, e.proxy.Addr())
	if err != nil {
		return
	}
	w.drained++
	call, err := conn.Send(&msg.Order{Drain: &msg.DrainOrder{Drain: drain, Version: w.drained}}, ignore{})
	if err == nil {
		call.Release()
	}
}

type ignore struct{}

func (ignore) Reply(*msg.Reply) {}
func (ignore) Lost(bool, error) {}

type noTable struct{}

func (noTable) RecordStart(route.Choice, time.Time)            {}
func (noTable) RecordFinish(route.Choice, time.Time)           {}
func (noTable) Observe(route.Choice, time.Duration, time.Time) {}

func (noTable) RecordFailure(route.Choice, time.Time) {}

// close ends the history. Afterwards nothing runs any more.
func (w *world) close() {
	for _, e := range w.entries {
		e.claims.Close()
		e.pool.Close()
	}
	for _, e := range w.endpoints {
		_ = e.current().Shutdown(context.Background())
		e.proxy.Close()
	}
}
