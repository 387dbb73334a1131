package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/lab/faultproxy"
	"github.com/siskinford/siskinford/lab/faults"
	"github.com/siskinford/siskinford/lab/procs"
)

const (
	// readyLimit is the time in which a started entry becomes ready while the site
	// is up. Longer is a matter of the last check.
	readyLimit = 5 * time.Second
	// checkInterval is the time between checks of all that was recorded.
	checkInterval = time.Second
	// holdLimit is the time for which a group may be held, far longer than a change
	// of maps whose orders are late.
	holdLimit = recoverBound
)

// run is one run of a plan.
type run struct {
	plan   Plan
	site   Site
	record *record
	load   load
	began  time.Time

	links     *overlay[func(from, to Host) faultproxy.Faults]
	troubles  *overlay[func(entry int) faults.PlatformFaults]
	behaviors *overlay[func(Host) faults.Behavior]

	ctx        context.Context
	background sync.WaitGroup

	loss sync.Mutex // taken before the group's lock
	lost map[int]int

	mu   sync.Mutex // leaf lock; guards all below
	rng  *rand.Rand
	busy map[Host]bool
	// ended holds the processes that were ended, or found so.
	ended map[*procs.Process]bool
	gen   int
	fault error
}

func newRun(p Plan, s Site) *run {
	r := &run{
		plan: p, site: s, record: newRecord(), lost: make(map[int]int), busy: make(map[Host]bool), ended: make(map[*procs.Process]bool),
		rng: rand.New(rand.NewPCG(p.Seed, 0xfa17)),
	}
	r.load.run = r
	r.links = newOverlay(func(parts []func(from, to Host) faultproxy.Faults) {
		s.SetLinks(func(from, to Host) faultproxy.Faults { return joinFaults(parts, from, to) })
	})
	r.troubles = newOverlay(func(parts []func(entry int) faults.PlatformFaults) {
		s.SetPlatformFaults(func(entry int) faults.PlatformFaults { return joinTroubles(parts, entry) })
	})
	r.behaviors = newOverlay(func(parts []func(Host) faults.Behavior) {
		s.SetBehavior(func(h Host) faults.Behavior {
			for _, of := range parts {
				if b := of(h); b != faults.Normal {
					return b
				}
			}
			return faults.Normal
		})
	})
	s.OnArrival(r.record.arrive)
	return r
}

func joinFaults(parts []func(from, to Host) faultproxy.Faults, from, to Host) faultproxy.Faults {
	var sum faultproxy.Faults
	for _, of := range parts {
		f := of(from, to)
		sum.Delay += f.Delay
		sum.CutToTarget = sum.CutToTarget || f.CutToTarget
		sum.CutToClient = sum.CutToClient || f.CutToClient
		sum.Refuse = sum.Refuse || f.Refuse
		sum.Loss = max(sum.Loss, f.Loss)
		sum.Duplicate = max(sum.Duplicate, f.Duplicate)
		sum.Reorder = max(sum.Reorder, f.Reorder)
	}
	return sum
}

func joinTroubles(parts []func(entry int) faults.PlatformFaults, entry int) faults.PlatformFaults {
	var sum faults.PlatformFaults
	for _, of := range parts {
		t := of(entry)
		sum.Silent = sum.Silent || t.Silent
		sum.Busy = sum.Busy || t.Busy
		sum.Reset = sum.Reset || t.Reset
		sum.Delay += t.Delay
		sum.LateWrites = max(sum.LateWrites, t.LateWrites)
		sum.LateWriteDelay = max(sum.LateWriteDelay, t.LateWriteDelay)
	}
	return sum
}

// execute plays the plan. The error is of the soak itself; what the product did
// wrong is in the record.
func (r *run) execute(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.ctx, r.began = ctx, time.Now()
	for i := range r.plan.Shape.Entries {
		r.record.start(i)
	}
	r.configure()
	if !r.awaitServing(recoverBound) {
		return errors.New("the site does not serve before the first fault")
	}
	r.began = time.Now()
	loadCtx, stopLoad := context.WithCancel(ctx)
	r.load.start(loadCtx, r.plan.Seed)
	r.load.wg.Go(func() { r.drift(loadCtx) })
	r.play(ctx)
	if !r.awaitServing(recoverBound) {
		r.record.violate(Violation{Promise: promiseRecover, Detail: "not all kinds of requests are served by all entries"})
	}
	stopLoad()
	r.load.wg.Wait()
	r.check()
	return r.err()
}

// driftInterval is the time between changes of demand, a few times that which a
// map needs to follow.
const driftInterval = 700 * time.Millisecond

// drift changes the demand for experts until ctx ends, so that maps change all the time.
func (r *run) drift(ctx context.Context) {
	for sleep(ctx, driftInterval) {
		r.site.Group().Shift()
	}
}

// play strikes the faults of the plan while the load is on.
func (r *run) play(ctx context.Context) {
	for _, f := range r.plan.Faults {
		r.background.Go(func() {
			if !sleep(ctx, time.Until(r.began.Add(f.At))) {
				return
			}
			if end := kinds[f.Name](r, f); end != nil {
				sleep(ctx, f.Duration)
				end()
			}
		})
	}
	end := time.After(r.plan.LoadDuration)
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	var held time.Time
	for over := false; !over; {
		select {
		case <-end:
			over = true
		case <-tick.C:
			r.check()
			r.checkAlive()
			held = r.checkHeld(held)
		case <-ctx.Done():
			over = true
		}
	}
	r.background.Wait()
}

// checkAlive notices processes that ended by themselves, and starts them again.
func (r *run) checkAlive() {
	for _, h := range r.allHosts() {
		if h.Kind == Plain {
			continue
		}
		p := r.site.Process(h)
		select {
		case <-p.Done():
		default:
			continue
		}
		if r.expect(p) {
			r.record.violate(Violation{Promise: promiseAlive, Detail: fmt.Sprintf("%v ended: %s", h, lastLines(p.Output(), 30))})
			if r.down(h) {
				r.up(h)
			}
		}
	}
}

// expect notes that a process is about to be ended. It is false if that is known.
func (r *run) expect(p *procs.Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.ended[p]
	r.ended[p] = true
	return !known
}

func lastLines(text string, n int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// checkHeld notices a group that is held for too long.
func (r *run) checkHeld(since time.Time) time.Time {
	switch {
	case !r.site.Group().Status().Held:
		return time.Time{}
	case since.IsZero():
		return time.Now()
	case time.Since(since) > holdLimit:
		r.record.violate(Violation{Promise: promiseHeld, Detail: "it was held for more than " + holdLimit.String()})
	}
	return since
}

// awaitServing waits until each entry serves each kind of request.
func (r *run) awaitServing(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for entry := range r.plan.Shape.Entries {
		for _, m := range mixes {
			for !r.load.probe(entry, m) {
				if time.Now().After(deadline) || !sleep(r.ctx, 50*time.Millisecond) {
					return false
				}
			}
		}
	}
	return true
}

// configure writes the next generation of the configuration.
func (r *run) configure() {
	r.mu.Lock()
	r.gen++
	g := r.gen
	sent := time.Now()
	err := r.site.Configure(g)
	r.mu.Unlock()
	if err != nil {
		r.fail(err)
		return
	}
	r.record.accepted(g, sent)
}

func (r *run) generation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gen
}

// down reserves a host for one who takes its process away. It is false if another
// one did.
func (r *run) down(h Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[h] {
		return false
	}
	r.busy[h] = true
	return true
}

func (r *run) free(h Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, h)
}

// up starts a host's process if it has ended.
func (r *run) up(h Host) {
	defer r.free(h)
	select {
	case <-r.site.Process(h).Done():
	default:
		return
	}
	if h.Kind == Entry {
		r.record.start(h.Index)
	}
	if err := r.site.Start(h); err != nil {
		r.fail(err)
	}
}

func (r *run) awaitReady(h Host) {
	if h.Kind != Entry {
		return
	}
	for end := time.Now().Add(readyLimit); time.Now().Before(end) && !r.site.Ready(h.Index); {
		r.sleep(20 * time.Millisecond)
	}
}

func (r *run) sleep(d time.Duration) { sleep(r.ctx, d) }

// chance draws a number between zero and one.
func (r *run) chance() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// fail notes a fault of the soak itself.
func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = errors.CombineErrors(r.fault, err)
}

func (r *run) err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}
