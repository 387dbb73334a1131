// Package histories is a randomized safety test of at-most-once execution. Each
// seeded history runs agents, connections, dispatchers, claims and tickets in one
// process over loopback, against a back end that counts executions.
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
	service       id.Service = "mostrador"
	team          id.Team    = "puno"
	headerRequest            = "X-Request"
	headerKey                = "Idempotency-Key"
)

// lockedRand is a seeded random number generator that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex // leaf lock
	random *rand.Rand
}

func newLockedRand(seed, stream uint64) *lockedRand {
	return &lockedRand{random: rand.New(rand.NewPCG(seed, stream))}
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *lockedRand) percent(p int) bool { return r.intN(100) < p }

func (r *lockedRand) upToMillis(n int) time.Duration {
	return time.Duration(r.intN(n*1000)) * time.Microsecond
}

// executionCounts counts the executions of back ends by key and by request.
type executionCounts struct {
	mu       sync.Mutex // leaf lock
	keys     map[string]int
	requests map[string]int
}

func (c *executionCounts) record(key, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[request]++
	if key != "" {
		c.keys[key]++
	}
}

// backend is the back end that all endpoints of a history share.
type backend struct {
	executions *executionCounts
	rng        *lockedRand
}

var errInjected = errors.New("injected back-end failure")

func header(p *msg.HTTPRequest, name string) string {
	for _, h := range p.Header {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// answerTo returns the expected answer to a request: the key of its action, or the
// request's ID if it has none, and the payload.
func answerTo(p *msg.HTTPRequest) string {
	mark := header(p, headerKey)
	if mark == "" {
		mark = header(p, headerRequest)
	}
	return "ran " + mark + " with " + string(p.Body)
}

// Do implements server.PlainBackend.
func (b *backend) Do(ctx context.Context, p *msg.HTTPRequest, w plain.Writer) error {
	if ctx.Err() != nil || b.rng.percent(4) {
		return &plain.NotStartedError{Cause: errInjected}
	}
	b.executions.record(header(p, headerKey), header(p, headerRequest))
	if err := w.Head(msg.ResponseHead{Status: 201}); err != nil {
		return err
	}
	text := answerTo(p)
	for len(text) > 0 {
		wait(ctx, b.rng.upToMillis(8))
		if ctx.Err() != nil || b.rng.percent(2) {
			return errInjected
		}
		n := min(len(text), 1+b.rng.intN(40))
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

// endpoint is an agent behind a fault-injecting proxy. It can be restarted.
type endpoint struct {
	name  id.Endpoint
	proxy *faultproxy.UDP

	mu       sync.Mutex // leaf lock
	agent    *server.Agent
	previous id.Incarnation
}

func (e *endpoint) current() *server.Agent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.agent
}

// incarnation returns the current or, if outdated is set, the previous incarnation.
func (e *endpoint) incarnation(outdated bool) id.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if outdated && e.previous != "" {
		return e.previous
	}
	return e.agent.Incarnation()
}

// entry holds the components of an entry that run requests.
type entry struct {
	dispatcher *dispatch.Dispatcher
	actions    *actions.Actions
	pool       *link.Pool
	claims     *claim.Claimer
}

// world is the fleet of one history.
type world struct {
	keys         *credentials
	rng          *lockedRand
	executions   *executionCounts
	backend      *backend
	store        *faultstore.Store
	endpoints    []*endpoint
	entries      []*entry
	drainVersion uint64
}

// credentials are the TLS credentials of all agents and of all entries.
type credentials struct{ agent, entry *keys.Credentials }

func newCredentials() (*credentials, error) {
	authority, err := keys.NewAuthority(24 * time.Hour)
	if err != nil {
		return nil, err
	}
	var creds credentials
	for role, ring := range map[keys.Role]**keys.Credentials{keys.RoleAgent: &creds.agent, keys.RoleEntry: &creds.entry} {
		material, err := authority.Issue(role, "host", 24*time.Hour)
		if err != nil {
			return nil, err
		}
		if *ring, err = keys.New(material); err != nil {
			return nil, err
		}
	}
	return &creds, nil
}

// linkConfig has short timeouts, so that a history abandons many silent connections.
func linkConfig() link.Config {
	c := link.DefaultConfig()
	c.DialTimeout = 100 * time.Millisecond
	c.ProbeInterval = 15 * time.Millisecond
	c.SilenceTimeout = 60 * time.Millisecond
	return c
}

func newWorld(seed uint64, creds *credentials) (*world, error) {
	w := &world{
		keys:       creds,
		rng:        newLockedRand(seed, 0),
		executions: &executionCounts{keys: map[string]int{}, requests: map[string]int{}},
		store:      faultstore.New(memstore.New(memstore.Config{})),
	}
	w.backend = &backend{executions: w.executions, rng: newLockedRand(seed, 1)}
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

// restart stops an agent without draining and starts it again at the same address.
func (w *world) restart(e *endpoint) error {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	previous := e.current()
	_ = previous.Shutdown(ended) // aborting the requests in flight is intended
	agent, err := w.startAgent(e.name, previous.Address())
	for tries := 0; err != nil && tries < maxListenTries; tries++ {
		wait(context.Background(), listenInterval) // the former socket is closed in the background
		agent, err = w.startAgent(e.name, previous.Address())
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.agent, e.previous = agent, previous.Incarnation()
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

// Pick implements route.Picker at random, in 10% of cases with an outdated incarnation.
func (w *world) Pick(r route.Request) (route.Choice, error) {
	first := w.rng.intN(len(w.endpoints))
	for i := range w.endpoints {
		e := w.endpoints[(first+i)%len(w.endpoints)]
		excluded := false
		for _, x := range r.Exclude {
			excluded = excluded || x == e.name
		}
		if !excluded {
			return route.Choice{Endpoint: e.name, Incarnation: e.incarnation(w.rng.percent(10))}, nil
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

// drain sends a drain order to an endpoint without waiting for the reply.
func (w *world) drain(e *endpoint, drain bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	conn, err := w.entries[0].pool.Conn(ctx, e.proxy.Addr())
	if err != nil {
		return
	}
	w.drainVersion++
	call, err := conn.Send(&msg.Order{Drain: &msg.DrainOrder{Drain: drain, Version: w.drainVersion}}, discardReplies{})
	if err == nil {
		call.Release()
	}
}

type discardReplies struct{}

func (discardReplies) Reply(*msg.Reply) {}
func (discardReplies) Lost(bool, error) {}

type noTable struct{}

func (noTable) RecordStart(route.Choice, time.Time)            {}
func (noTable) RecordFinish(route.Choice, time.Time)           {}
func (noTable) Observe(route.Choice, time.Duration, time.Time) {}

func (noTable) RecordFailure(route.Choice, time.Time) {}

// close stops all agents. Afterwards the execution counts are final.
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
