package duty_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// modelStore is a store without network that returns from older copies. Its revisions are small
// and are given out again after a return, so that late writes often meet the version they expect.
type modelStore struct {
	era, revision uint64
	objects       map[string]modelObject
	copies        []modelCopy
}

type modelObject struct {
	version uint64
	value   string
}

type modelCopy struct {
	revision uint64
	objects  map[string]modelObject
}

func newModelStore() *modelStore { return &modelStore{objects: make(map[string]modelObject)} }

func (s *modelStore) copy() {
	s.copies = append(s.copies, modelCopy{s.revision, maps.Clone(s.objects)})
}

// restore returns to the copy that was made the given number of copies ago.
func (s *modelStore) restore(copiesAgo int) {
	if len(s.copies) == 0 {
		s.copy()
	}
	s.copies = s.copies[:max(1, len(s.copies)-copiesAgo)]
	c := s.copies[len(s.copies)-1]
	s.era++
	s.revision, s.objects = c.revision, maps.Clone(c.objects)
}

// put applies a conditional write as it arrives, with the version of any era.
func (s *modelStore) put(name string, version uint64, value string) bool {
	if s.objects[name].version != version {
		return false
	}
	s.revision++
	s.objects[name] = modelObject{s.revision, value}
	return true
}

// modelClient is a process's access to a modelStore, with the rules of objectapi.Client.
type modelClient struct {
	objectapi.Store
	store *modelStore
	era   uint64
	down  bool
	// onPut replaces the delivery of the next write, whose function returns whether it was
	// applied and answered.
	onPut func(deliver func() bool) (applied, answered bool)
	// onSend runs before the next write is sent.
	onSend func()
}

var errLost = errors.New("answer lost")

func (c *modelClient) Era() uint64 { return c.era }

func (c *modelClient) object(name string, o modelObject) objectapi.Object {
	out := objectapi.Object{Kind: duty.LeaseKind, Name: name, Value: []byte(o.value)}
	if o.version != 0 {
		out.Version = objectapi.ComposeVersion(c.era, o.version)
	}
	return out
}

func (c *modelClient) Get(_ context.Context, kind, name string) (objectapi.Object, error) {
	if c.down {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errLost}
	}
	c.era = c.store.era
	o, ok := c.store.objects[name]
	if !ok {
		return objectapi.Object{}, &objectapi.NotFoundError{Kind: kind, Name: name}
	}
	return c.object(name, o), nil
}

func (c *modelClient) Put(_ context.Context, o objectapi.Object) (objectapi.Object, error) {
	if onSend := c.onSend; onSend != nil {
		c.onSend = nil
		onSend()
	}
	if o.Version != 0 && objectapi.EraOf(o.Version) < c.era {
		return objectapi.Object{}, &objectapi.ConflictError{ExpectedVersion: o.Version}
	}
	if c.down {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errLost}
	}
	sentIn := c.era
	var answeredIn uint64
	var current modelObject
	deliver := func() bool {
		applied := c.store.put(o.Name, objectapi.WithoutEra(o.Version), string(o.Value))
		answeredIn, current = c.store.era, c.store.objects[o.Name]
		return applied
	}
	onPut := c.onPut
	c.onPut = nil
	if onPut == nil {
		onPut = func(deliver func() bool) (bool, bool) { return deliver(), true }
	}
	applied, answered := onPut(deliver)
	unknown := &objectapi.OutcomeUnknownError{Kind: o.Kind, Name: o.Name, Cause: errLost}
	if !answered {
		return objectapi.Object{}, unknown
	}
	c.era = max(c.era, answeredIn)
	switch {
	case answeredIn != sentIn:
		return objectapi.Object{}, unknown
	case !applied:
		return objectapi.Object{}, &objectapi.ConflictError{ExpectedVersion: o.Version, Current: c.object(o.Name, current)}
	}
	return c.object(o.Name, current), nil
}

func (c *modelClient) Delete(_ context.Context, _, name string, version uint64) error {
	if c.down || c.store.objects[name].version != objectapi.WithoutEra(version) {
		return &objectapi.ConflictError{ExpectedVersion: version}
	}
	c.store.revision++
	delete(c.store.objects, name)
	return nil
}

// modelProcess is one process with a clock of its own rate.
type modelProcess struct {
	*duty.Lease
	client *modelClient
	rate   float64
	now    func() time.Time
}

type model struct {
	t      *testing.T
	store  *modelStore
	passed time.Duration
	starts int
}

func newModel(t *testing.T) *model { return &model{t: t, store: newModelStore()} }

func (m *model) start(rate float64) *modelProcess {
	p := &modelProcess{client: &modelClient{store: m.store}, rate: rate}
	p.now = func() time.Time { return time.Unix(1000, 0).Add(time.Duration(float64(m.passed) * rate)) }
	m.starts++
	var err error
	p.Lease, err = duty.NewLease(duty.LeaseConfig{
		Store: p.client, Duty: "plan", Holder: fmt.Sprintf("p/%d", m.starts), TTL: ttl, Now: p.now,
	})
	assert.NilError(m.t, err)
	return p
}

func (m *model) step(p *modelProcess) { _ = p.AcquireOrRenew(context.Background()) }

func (m *model) assertToken(p *modelProcess, want uint64) {
	m.t.Helper()
	got, _ := p.Valid(p.now())
	assert.Equal(m.t, got, want)
}

// firstToken is the token of the first holder in an era after the given sequence.
func firstToken(era, after uint64) uint64 { return era<<20 | (after + 4) }

func TestLeaseAfterReturn(t *testing.T) {
	const wait = ttl + ttl/20
	cases := map[string]func(m *model, a, b *modelProcess){
		"the holder whose name the copy holds waits as well": func(m *model, a, b *modelProcess) {
			m.step(a)
			m.store.copy()
			m.store.restore(0)
			m.step(a) // The answer of its renewal shows the rise.
			m.step(a)
			m.assertToken(a, 1)
			m.passed += ttl * 19 / 20
			m.assertToken(a, 0)
			m.step(a)
			m.assertToken(a, 0)
			m.passed += ttl / 10
			m.step(a)
			m.assertToken(a, firstToken(1, 1))
			m.step(b)
			m.assertToken(b, 0)
		},
		"a released lease of the copy is not free at once": func(m *model, a, b *modelProcess) {
			m.step(a)
			_ = a.Release(context.Background())
			m.store.copy()
			m.step(a)
			m.assertToken(a, 2)
			m.store.restore(0)
			m.step(b)
			m.assertToken(b, 0)
			m.passed += wait
			m.assertToken(a, 0)
			m.step(b)
			m.assertToken(b, firstToken(1, 1)) // Sequences 1 to 4 may be those of lost holders.
		},
		"a lease without an object in the copy": func(m *model, a, b *modelProcess) {
			m.store.copy()
			m.step(a)
			m.store.restore(0)
			m.step(b)
			m.assertToken(a, 1)
			m.assertToken(b, 0)
			m.passed += wait
			m.step(b)
			m.assertToken(b, firstToken(1, 0))
		},
		"a process that starts in a later era waits": func(m *model, a, _ *modelProcess) {
			m.step(a)
			m.store.copy()
			m.store.restore(0)
			c := m.start(1)
			m.step(c)
			m.assertToken(c, 0)
			m.passed += wait
			m.step(c)
			m.assertToken(c, firstToken(1, 1))
		},
		"a second return during the wait starts it again": func(m *model, a, b *modelProcess) {
			m.step(a)
			m.store.copy()
			m.store.restore(0)
			m.step(b)
			m.passed += wait / 2
			m.store.restore(0)
			m.step(b)
			m.passed += wait / 2
			m.step(b)
			m.assertToken(b, 0)
			m.passed += wait / 2
			m.step(b)
			m.assertToken(b, firstToken(2, 1))
		},
		"after the wait the lease is an ordinary one": func(m *model, a, b *modelProcess) {
			m.step(a)
			m.store.copy()
			m.store.restore(0)
			m.step(b)
			m.passed += wait
			m.step(b)
			m.step(a) // The answer shows the rise.
			assert.NilError(m.t, b.Release(context.Background()))
			m.step(a)
			m.assertToken(a, firstToken(1, 1)+1)
			assert.Equal(m.t, len(m.store.objects), 1) // That of the former era was deleted.
		},
		"a late write of the former era leaves the new lease alone": func(m *model, a, b *modelProcess) {
			m.step(a) // Revision 1.
			m.store.copy()
			m.step(a)
			var late func() bool
			a.client.onPut = func(deliver func() bool) (bool, bool) { late = deliver; return false, false }
			m.step(a) // Expects revision 2.
			m.store.restore(0)
			m.step(b)
			m.passed += wait
			m.step(b) // Gets revision 2.
			held, _ := b.Valid(b.now())
			assert.Assert(m.t, held != 0)
			late()
			c := m.start(1)
			m.step(c)
			m.step(b)
			m.assertToken(b, held)
			assert.NilError(m.t, b.Release(context.Background()))
			m.step(c)
			m.assertToken(c, held+1)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			m := newModel(t)
			run(m, m.start(1), m.start(1))
		})
	}
}

// TestLeaseTokensRunOut guards against a token of an era that exceeds the range of map versions.
func TestLeaseTokensRunOut(t *testing.T) {
	m := newModel(t)
	m.store.era = 1 << 12
	p := m.start(1)
	m.step(p)
	m.passed += 2 * ttl
	assert.ErrorContains(t, p.AcquireOrRenew(context.Background()), "used up")
	m.assertToken(p, 0)
}

// TestLeaseSchedulesWithReturns explores orders of writes, losses, restarts and returns of the
// store, also during an earlier one. Clock rates differ by up to 4 %. At any time at most one
// process holds the lease, and the token grows with each change of the holder, over all eras.
func TestLeaseSchedulesWithReturns(t *testing.T) {
	const steps = 120
	takeOvers, returns, hits := 0, 0, 0
	for seed := range *leaseCases {
		random := rand.New(rand.NewPCG(uint64(seed), 2))
		rate := func() float64 { return 0.98 + 0.04*random.Float64() }
		m := newModel(t)
		m.store.copy()
		processes := []*modelProcess{m.start(rate()), m.start(rate()), m.start(rate())}
		var late []func() bool
		var last *modelProcess
		var lastToken uint64
		restore := func() { m.store.restore(random.IntN(4)); returns++ }
		for range steps {
			i := random.IntN(len(processes))
			p := processes[i]
			p.client.down = random.IntN(12) == 0
			p.client.onPut, p.client.onSend = nil, nil
			switch random.IntN(24) {
			case 0, 1:
				p.client.onPut = func(deliver func() bool) (bool, bool) { return deliver(), false }
			case 2, 3, 4:
				p.client.onPut = func(deliver func() bool) (bool, bool) { late = append(late, deliver); return false, false }
			case 5:
				p.client.onPut = func(deliver func() bool) (bool, bool) {
					applied := deliver()
					m.passed += time.Duration(random.Int64N(int64(ttl)))
					return applied, true
				}
			case 6: // The store returns while a write is on its way, or its answer is.
				p.client.onPut = func(deliver func() bool) (bool, bool) { restore(); return deliver(), true }
			case 7:
				p.client.onPut = func(deliver func() bool) (bool, bool) { applied := deliver(); restore(); return applied, true }
			case 8, 9, 10, 11:
				if len(late) > 0 {
					n := random.IntN(len(late))
					if late[n]() {
						hits++
					}
					late = append(late[:n], late[n+1:]...)
				}
			case 12:
				restore()
			case 13, 14, 15, 16:
				m.store.copy()
			case 17:
				processes[i] = m.start(rate())
				p = processes[i]
			case 18: // The store returns before a write is sent, and another call of the process sees it.
				p.client.onSend = func() { restore(); p.client.era = m.store.era }
			}
			if random.IntN(15) == 0 {
				_ = p.Release(context.Background())
			} else {
				m.step(p)
			}
			m.passed += time.Duration(random.Int64N(int64(ttl / 3)))
			valid := 0
			for _, p := range processes {
				token, ok := p.Valid(p.now())
				if !ok {
					continue
				}
				valid++
				assert.Assert(t, token > lastToken || (p == last && token == lastToken), "seed %d: token %x after %x", seed, token, lastToken)
				if p != last {
					takeOvers++
				}
				last, lastToken = p, token
			}
			assert.Assert(t, valid <= 1, "seed %d: %d holders at once", seed, valid)
		}
	}
	t.Logf("%d take-overs, %d returns, %d late writes that applied in %d schedules", takeOvers, returns, hits, *leaseCases)
	assert.Assert(t, takeOvers > *leaseCases && returns > *leaseCases)
}
