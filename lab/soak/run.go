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
	// readyTimeout is the time for which a fault waits for its restarted entry to become
	// ready. Entries that take longer are caught by the check for recovery at the end.
	readyTimeout = 5 * time.Second
	// checkInterval is the time between checks of the records.
	checkInterval = time.Second
	// holdLimit is the time for which a group may be held. It is far longer than a change of
	// maps whose orders are late.
	holdLimit = recoverBound
)

// run is the state of one run of a plan.
type run struct {
	plan      Plan
	site      Site
	record    *record
	load      load
	startedAt time.Time

	links          *overlay[func(from, to Host) faultproxy.Faults]
	platformFaults *overlay[func(entry int) faults.PlatformFaults]
	behaviors      *overlay[func(Host) faults.Behavior]

	ctx        context.Context
	background sync.WaitGroup

	lostMu    sync.Mutex // taken before the group's lock
	lostRanks map[int]int

	mu       sync.Mutex // leaf lock; guards all below
	rng      *rand.Rand
	reserved map[Host]bool
	// ended holds the processes whose end was requested or has been reported.
	ended      map[*procs.Process]bool
	gen        int
	harnessErr error
}

func newRun(p Plan, s Site) *run {
	r := &run{
		plan: p, site: s, record: newRecord(), lostRanks: make(map[int]int), reserved: make(map[Host]bool), ended: make(map[*procs.Process]bool),
		rng: rand.New(rand.NewPCG(p.Seed, 0xfa17)),
	}
	r.load.run = r
	r.links = newOverlay(func(parts []func(from, to Host) faultproxy.Faults) {
		s.SetLinks(func(from, to Host) faultproxy.Faults { return mergeLinkFaults(parts, from, to) })
	})
	r.platformFaults = newOverlay(func(parts []func(entry int) faults.PlatformFaults) {
		s.SetPlatformFaults(func(entry int) faults.PlatformFaults { return mergePlatformFaults(parts, entry) })
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
	s.OnArrival(r.record.addArrival)
	return r
}

func mergeLinkFaults(parts []func(from, to Host) faultproxy.Faults, from, to Host) faultproxy.Faults {
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

func mergePlatformFaults(parts []func(entry int) faults.PlatformFaults, entry int) faults.PlatformFaults {
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

// execute runs the plan. The error is a failure of the test harness; violations by the
// product are in the record.
func (r *run) execute(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.ctx, r.startedAt = ctx, time.Now()
	for i := range r.plan.Shape.Entries {
		r.record.addStart(i)
	}
	r.configure()
	if !r.awaitServing(recoverBound) {
		return errors.New("site does not serve all requests before the first fault")
	}
	r.startedAt = time.Now()
	loadCtx, stopLoad := context.WithCancel(ctx)
	r.load.start(loadCtx, r.plan.Seed)
	r.load.wg.Go(func() { r.varyDemand(loadCtx) })
	r.injectFaults(ctx)
	if !r.awaitServing(recoverBound) {
		r.record.addViolation(Violation{Promise: promiseRecover, Detail: "not all kinds of requests are served by all entries"})
	}
	stopLoad()
	r.load.wg.Wait()
	r.checkAll()
	return r.err()
}

// demandInterval is the time between changes of demand, a few times what a map needs to
// follow.
const demandInterval = 700 * time.Millisecond

// varyDemand changes the demand for experts until ctx ends, so that maps keep changing.
func (r *run) varyDemand(ctx context.Context) {
	for sleep(ctx, demandInterval) {
		r.site.Group().ShiftPopularity()
	}
}

// injectFaults injects the faults of the plan while the load runs.
func (r *run) injectFaults(ctx context.Context) {
	for _, f := range r.plan.Faults {
		r.background.Go(func() {
			if !sleep(ctx, time.Until(r.startedAt.Add(f.At))) {
				return
			}
			if end := injectors[f.Name](r, f); end != nil {
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
			r.checkAll()
			r.checkAlive()
			held = r.checkHeld(held)
		case <-ctx.Done():
			over = true
		}
	}
	r.background.Wait()
}

// checkAlive reports and restarts processes that exited unexpectedly.
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
		if r.markEnded(p) {
			r.record.addViolation(Violation{Promise: promiseAlive, Detail: fmt.Sprintf("%v ended: %s", h, lastLines(p.Output(), 30))})
			if r.reserve(h) {
				r.restart(h)
			}
		}
	}
}

// markEnded marks a process as ended. It returns false if it already was.
func (r *run) markEnded(p *procs.Process) bool {
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

// checkHeld reports a group that is held for longer than holdLimit.
func (r *run) checkHeld(since time.Time) time.Time {
	switch {
	case !r.site.Group().Status().Held:
		return time.Time{}
	case since.IsZero():
		return time.Now()
	case time.Since(since) > holdLimit:
		r.record.addViolation(Violation{Promise: promiseHeld, Detail: "it was held for more than " + holdLimit.String()})
	}
	return since
}

// awaitServing waits until each entry serves each kind of request.
func (r *run) awaitServing(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for entry := range r.plan.Shape.Entries {
		for _, m := range clientProfiles {
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
		r.addError(err)
		return
	}
	r.record.addAck(g, sent)
}

func (r *run) generation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gen
}

// reserve reserves a host for a fault that stops its process. It returns false if the
// host is already reserved.
func (r *run) reserve(h Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved[h] {
		return false
	}
	r.reserved[h] = true
	return true
}

func (r *run) release(h Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reserved, h)
}

// restart starts a host's process if it has exited, and releases the host.
func (r *run) restart(h Host) {
	defer r.release(h)
	select {
	case <-r.site.Process(h).Done():
	default:
		return
	}
	if h.Kind == Entry {
		r.record.addStart(h.Index)
	}
	if err := r.site.Start(h); err != nil {
		r.addError(err)
	}
}

func (r *run) awaitReady(h Host) {
	if h.Kind != Entry {
		return
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && !r.site.Ready(h.Index); {
		r.sleep(20 * time.Millisecond)
	}
}

func (r *run) sleep(d time.Duration) { sleep(r.ctx, d) }

// chance returns a random number in [0,1).
func (r *run) chance() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// addError records a failure of the test harness.
func (r *run) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.harnessErr = errors.CombineErrors(r.harnessErr, err)
}

func (r *run) err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.harnessErr
}
