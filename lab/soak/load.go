package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// clientProfile describes the clients that send one kind of request.
type clientProfile struct {
	kind Kind
	// clients is the number of clients per entry.
	clients int
	// meanPause is the mean time between an answer and the next request.
	meanPause time.Duration
	// timeout is the time for which a client waits for the answer.
	timeout time.Duration
	// abortProbability is the share of requests that the client cancels early.
	abortProbability float64
	// maxBodyDelay is the longest time between the head and the body of a request.
	maxBodyDelay time.Duration
}

// clientProfiles load the site below its capacity, except for short peaks and surges.
var clientProfiles = []clientProfile{
	{Chat, 14, 600 * time.Millisecond, 5 * time.Second, 0.03, 0},
	{Issue, 4, 250 * time.Millisecond, time.Second, 0.03, 0},
	{Look, 3, 250 * time.Millisecond, time.Second, 0.03, 0},
	{Issue, 3, 100 * time.Millisecond, 8 * time.Second, 0, 7 * time.Second}, // Still sending when an entry stops.
}

const (
	// reconnectDelay is the pause before a client whose connection failed tries another
	// entry.
	reconnectDelay = 50 * time.Millisecond
	// maxRetryAfter caps the Retry-After delay that a rejected client honors.
	maxRetryAfter = 500 * time.Millisecond
	// generationKeyShare is the share of requests that use the key of the latest generation.
	generationKeyShare = 0.3
)

// load runs the clients of a run.
type load struct {
	run *run
	ids atomic.Int64
	// surgeFactor shortens the clients' pauses: they are divided by 1+4*surgeFactor.
	surgeFactor atomic.Int32
	wg          sync.WaitGroup
}

// start starts clients that send until ctx ends. wg waits for their last answers.
func (l *load) start(ctx context.Context, seed uint64) {
	for entry := range l.run.plan.Shape.Entries {
		for _, m := range clientProfiles {
			for n := range m.clients {
				rng := rand.New(rand.NewPCG(seed, uint64(entry)<<32|uint64(n)<<8|uint64(len(m.kind))))
				l.wg.Go(func() { l.client(ctx, entry, m, rng) })
			}
		}
	}
}

func (l *load) setSurge(times int) { l.surgeFactor.Store(int32(times)) }

// client sends requests to its home entry, and fails over to the next while that does not answer.
func (l *load) client(ctx context.Context, home int, m clientProfile, rng *rand.Rand) {
	c := l.run.site.NewClient()
	defer c.Close()
	entry := home
	for {
		pause := time.Duration(rng.ExpFloat64() * float64(m.meanPause) / float64(1+4*l.surgeFactor.Load()))
		if !sleep(ctx, pause) {
			return
		}
		x := l.exchange(c, entry, m, rng)
		switch {
		case x.Reply.Status == 0:
			entry = (entry + 1) % l.run.plan.Shape.Entries
			c.Close() // the next request opens a new connection
			sleep(ctx, reconnectDelay)
		case x.Reply.RetryAfter > 0:
			sleep(ctx, min(x.Reply.RetryAfter, maxRetryAfter))
			entry = home
		default:
			entry = home
		}
	}
}

// exchange sends one request and records and checks its reply.
func (l *load) exchange(c Client, entry int, m clientProfile, rng *rand.Rand) *exchange {
	r := l.run
	x := &exchange{Request: Request{
		ID: id.Request(fmt.Sprintf("%s-%d", m.kind, l.ids.Add(1))), Kind: m.kind, Key: r.site.StableKey(), Timeout: m.timeout,
	}, Entry: entry, Start: time.Now()}
	if m.maxBodyDelay > 0 {
		x.BodyDelay = time.Duration(rng.Float64() * float64(m.maxBodyDelay))
	}
	if rng.Float64() < generationKeyShare {
		x.Key = r.site.Key(r.generation())
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.timeout+2*answerTolerance)
	defer cancel()
	aborts := rng.Float64() < m.abortProbability
	if aborts {
		time.AfterFunc(time.Duration(rng.Float64()*float64(300*time.Millisecond)), cancel)
	}
	r.record.addExchange(x)
	reply := c.Send(ctx, entry, x.Request)
	var abortedAt time.Time
	if aborts && ctx.Err() == context.Canceled {
		abortedAt = time.Now()
	}
	r.record.finish(x, reply, abortedAt)
	r.checkReply(x)
	return x
}

// probe sends one request outside the load and reports whether it succeeded.
func (l *load) probe(entry int, m clientProfile) bool {
	c := l.run.site.NewClient()
	defer c.Close()
	m.abortProbability = 0
	x := l.exchange(c, entry, m, rand.New(rand.NewPCG(0, 0)))
	return x.Reply.Complete()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
