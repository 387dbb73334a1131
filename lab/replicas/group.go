// Package replicas is a stand-in for back ends that entries reach directly: a
// group of model engines whose ranks run in lock-step on an expert map, and a
// plain service. It checks what must hold: no pass begins with two maps, and no
// non-idempotent request runs twice.
package replicas

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// GroupConfig describes a group of ranks. Times are those of a small engine, so
// that tests see many passes.
type GroupConfig struct {
	Name  id.Group
	Ranks int
	// Slots is the number of streams that a rank runs at the same time, and MaxWaiting
	// the number that wait.
	Slots, MaxWaiting int
	// LayerSets, ExpertsPerSet, MaxPerRank and MaxNewPerMap describe the experts of a set of layers.
	LayerSets, ExpertsPerSet, MaxPerRank, MaxNewPerMap int
	// StepTime is the time of a pass without load, and TimePerStream is added for the
	// streams of a rank with an even map.
	StepTime, TimePerStream time.Duration
	// CopyTime is the time in which a rank copies one expert.
	CopyTime time.Duration
	// FormTime is the time in which the group opens after its last rank is back, and
	// StallTimeout the time for which work waits for a lost rank.
	FormTime, StallTimeout time.Duration
	Seed                   uint64
}

// ErrQueueFull means that a rank has no place for a stream, which was not started.
var ErrQueueFull = errors.New("the rank is full")

// MissingRankError means that the group lacks a rank. The stream was not started.
type MissingRankError struct{ Rank int }

func (e *MissingRankError) Error() string { return fmt.Sprintf("rank %d is missing", e.Rank) }

// Group is a group of ranks. It is safe for concurrent use.
type Group struct {
	cfg  GroupConfig
	stop chan struct{}

	mu         sync.Mutex // leaf lock
	rng        *rand.Rand
	ranks      []*rank
	epoch      uint64
	step       uint64
	formingAt  time.Time // zero while the group is open or lacks a rank
	missing    map[int]time.Time
	popular    [][]int // experts by set, the most wanted first
	violations []string
	switches   int
	skew       float64
	late       float64
	lateBy     time.Duration
}

// rank is one engine.
type rank struct {
	born     int64
	waiting  []*Stream
	running  []*Stream
	counts   []uint64
	version  uint64
	experts  [][]int // by set
	highest  uint64
	prepared uint64
	// readyAt is when the copy of the prepared map is complete.
	readyAt         time.Time
	preparedExperts [][]int
	armed, armedAt  uint64
	held            uint64
}

// Stream is one request at a rank.
type Stream struct {
	// Events receives the numbers of the events. It is closed at the end, or
	// before the last event if the stream breaks off.
	Events chan int
	next   int
	last   int
	prompt bool // the prompt is not read yet
	gone   bool
}

// NewGroup starts a group that is open.
func NewGroup(cfg GroupConfig) *Group {
	g := &Group{
		cfg: cfg, stop: make(chan struct{}), rng: rand.New(rand.NewPCG(cfg.Seed, 7)), missing: make(map[int]time.Time),
	}
	for range cfg.LayerSets {
		g.popular = append(g.popular, g.rng.Perm(cfg.ExpertsPerSet))
	}
	for range cfg.Ranks {
		g.ranks = append(g.ranks, &rank{born: time.Now().UnixMilli(), counts: make([]uint64, cfg.LayerSets*cfg.ExpertsPerSet)})
	}
	g.form()
	go g.run()
	return g
}

// Close stops the group.
func (g *Group) Close() { close(g.stop) }

// form opens the group in a new epoch with the initial map.
func (g *Group) form() {
	g.epoch++
	for i, r := range g.ranks {
		r.version, r.highest, r.prepared, r.armed, r.armedAt, r.held = 0, 0, 0, 0, 0, 0
		r.experts = make([][]int, g.cfg.LayerSets)
		for s := range r.experts {
			for e := i; e < g.cfg.ExpertsPerSet; e += g.cfg.Ranks {
				r.experts[s] = append(r.experts[s], e)
			}
		}
	}
}

// Start asks a rank to run a stream from after an event up to the last one.
func (g *Group) Start(rankIndex, after, last int) (*Stream, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for lost, since := range g.missing {
		if lost != rankIndex && time.Since(since) > g.cfg.StallTimeout {
			return nil, &MissingRankError{Rank: lost}
		}
	}
	r := g.ranks[rankIndex]
	if len(r.running)+len(r.waiting) >= g.cfg.Slots+g.cfg.MaxWaiting {
		return nil, ErrQueueFull
	}
	s := &Stream{Events: make(chan int, last+1), next: after + 1, last: last, prompt: true}
	r.waiting = append(r.waiting, s)
	return s, nil
}

// Cancel ends a stream whose caller has gone.
func (g *Group) Cancel(s *Stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.gone = true
}

// FailRank takes a rank away; its streams break off at once and all others after the stall.
func (g *Group) FailRank(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.missing[i] = time.Now()
	g.formingAt = time.Time{}
	g.breakOff(g.ranks[i])
}

// RestoreRank brings a rank back under the same name. The group forms anew.
func (g *Group) RestoreRank(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.missing, i)
	r := g.ranks[i]
	*r = rank{born: time.Now().UnixMilli(), counts: make([]uint64, g.cfg.LayerSets*g.cfg.ExpertsPerSet), experts: r.experts}
	if len(g.missing) == 0 {
		g.formingAt = time.Now().Add(g.cfg.FormTime)
	}
}

// ShiftPopularity makes other experts popular.
func (g *Group) ShiftPopularity() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.popular {
		g.popular[s] = g.rng.Perm(g.cfg.ExpertsPerSet)
	}
}

// DelayOrders leaves a share of the orders unanswered and carries them out later.
func (g *Group) DelayOrders(share float64, by time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late, g.lateBy = share, by
}

// Status tells what a test wants to know.
type Status struct {
	// Skew is the largest rank load over the mean in the last pass, averaged over the sets.
	Skew float64
	// MapSwitches counts the maps taken into use, and Step the passes.
	MapSwitches int
	Step        uint64
	// Held is true while a rank keeps the group from a step to come.
	Held bool
	// Violations tell where two ranks had different maps.
	Violations []string
}

// Status returns the state of the group.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{Skew: g.skew, MapSwitches: g.switches, Step: g.step, Held: g.held(), Violations: g.violations}
}

func (g *Group) held() bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.held > g.step })
}

func (g *Group) breakOff(r *rank) {
	for _, s := range append(r.running, r.waiting...) {
		close(s.Events)
	}
	r.running, r.waiting = nil, nil
}
