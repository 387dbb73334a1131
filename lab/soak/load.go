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

// mix describes the clients of a kind of request.
type mix struct {
	kind Kind
	// clients is their number for each entry.
	clients int
	// pause is the mean time between an answer and the next request.
	pause time.Duration
	// patience is the time for which they wait.
	patience time.Duration
	// leaves is the share of requests whose client goes away early.
	leaves float64
}

// mixes load the site below its capacity, but for moments and crowds.
var mixes = []mix{
	{Chat, 14, 600 * time.Millisecond, 5 * time.Second, 0.03},
	{Issue, 4, 250 * time.Millisecond, time.Second, 0.03},
	{Look, 3, 250 * time.Millisecond, time.Second, 0.03},
}

const (
	// retryPause is the time after which a client whose connection failed goes to
	// another entry.
	retryPause = 50 * time.Millisecond
	// longestRetryAfter bounds how long a refused client waits before it asks again.
	longestRetryAfter = 500 * time.Millisecond
	// oldKeyShare is the share of requests that use the key of their generation.
	oldKeyShare = 0.3
)

// load is the clients of a run.
type load struct {
	run *run
	ids atomic.Int64
	// crowded is the number of times that clients press more than usual.
	crowded atomic.Int32
	wg      sync.WaitGroup
}

// start begins to send until ctx ends. Wait waits for the last answers.
func (l *load) start(ctx context.Context, seed uint64) {
	for entry := range l.run.plan.Shape.Entries {
		for _, m := range mixes {
			for n := range m.clients {
				rng := rand.New(rand.NewPCG(seed, uint64(entry)<<32|uint64(n)<<8|uint64(len(m.kind))))
				l.wg.Go(func() { l.client(ctx, entry, m, rng) })
			}
		}
	}
}

func (l *load) crowd(times int) { l.crowded.Store(int32(times)) }

// client sends requests to its entry, and to another one while that does not answer.
func (l *load) client(ctx context.Context, home int, m mix, rng *rand.Rand) {
	c := l.run.site.NewClient()
	defer c.Close()
	entry := home
	for {
		pause := time.Duration(rng.ExpFloat64() * float64(m.pause) / float64(1+4*l.crowded.Load()))
		if !sleep(ctx, pause) {
			return
		}
		x := l.exchange(c, entry, m, rng)
		switch {
		case x.Reply.Status == 0:
			entry = (entry + 1) % l.run.plan.Shape.Entries
			c.Close() // The next request goes over a new connection.
			sleep(ctx, retryPause)
		case x.Reply.RetryAfter > 0:
			sleep(ctx, min(x.Reply.RetryAfter, longestRetryAfter))
			entry = home
		default:
			entry = home
		}
	}
}

// exchange sends one request and records what came of it.
func (l *load) exchange(c Client, entry int, m mix, rng *rand.Rand) *exchange {
	r := l.run
	x := &exchange{Request: Request{
		ID: id.Request(fmt.Sprintf("%s-%d", m.kind, l.ids.Add(1))), Kind: m.kind, Key: r.site.StableKey(), Timeout: m.patience,
	}, Entry: entry, At: time.Now()}
	if rng.Float64() < oldKeyShare {
		x.Key = r.site.Key(r.generation())
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.patience+2*lateBound)
	defer cancel()
	leaves := rng.Float64() < m.leaves
	if leaves {
		time.AfterFunc(time.Duration(rng.Float64()*float64(300*time.Millisecond)), cancel)
	}
	r.record.send(x)
	reply := c.Send(ctx, entry, x.Request)
	var left time.Time
	if leaves && ctx.Err() == context.Canceled {
		left = time.Now()
	}
	r.record.done(x, reply, left)
	r.checkReply(x)
	return x
}

// probe sends one request outside the load and reports whether it was served.
func (l *load) probe(entry int, m mix) bool {
	c := l.run.site.NewClient()
	defer c.Close()
	m.leaves = 0
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
