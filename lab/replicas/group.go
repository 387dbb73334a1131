// Package replicas simulates back ends that entries call directly: a group of model
// engines whose ranks run in lock-step on an expert map, and a counter of request
// executions. It records passes whose ranks used different maps, and lets tests
// detect a non-idempotent request that was executed twice.
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

// GroupConfig configures a Group. Its durations are short, so that a test sees many passes.
type GroupConfig struct {
	Name  id.Group
	Ranks int
	// Slots and MaxWaiting bound the running and the queued streams of a rank.
	Slots, MaxWaiting int
	// Layers are grouped in LayerSets, each with ExpertsPerSet experts. In each set a
	// rank holds at most MaxPerRank experts, of which a map adds at most MaxNewPerMap.
	LayerSets, ExpertsPerSet, MaxPerRank, MaxNewPerMap int
	// StepTime is the duration of a pass without load. TimePerStream, times the skew, is
	// added for each stream of the busiest rank.
	StepTime, TimePerStream time.Duration
	// CopyTime is the time to load one new expert.
	CopyTime time.Duration
	// FormTime is the time from the return of the last missing rank to the next epoch.
	// StallTimeout is the time for which streams wait for a missing rank.
	FormTime, StallTimeout time.Duration
	Seed                   uint64
}

// ErrQueueFull means that a stream was rejected because the rank's queue is full.
var ErrQueueFull = errors.New("rank queue is full")

// MissingRankError means that a stream was rejected because another rank is missing.
type MissingRankError struct{ Rank int }

func (e *MissingRankError) Error() string { return fmt.Sprintf("rank %d is missing", e.Rank) }

// Group is a simulated group of ranks. It is safe for concurrent use.
type Group struct {
	cfg  GroupConfig
	stop chan struct{}

	mu           sync.Mutex // leaf lock
	rng          *rand.Rand
	ranks        []*rank
	epoch        uint64
	step         uint64    // passes begun, as in relay.State; not token steps as in routes.Engine
	opensAt      time.Time // start of the next epoch; zero while open or a rank is missing
	missing      map[int]time.Time
	popular      [][]int // experts by set, most popular first
	violations   []string
	mapSwitches  int
	skew         float64
	delayedShare float64
	orderDelay   time.Duration
}

// rank is the state of one engine.
type rank struct {
	startMillis    int64
	waiting        []*Stream
	running        []*Stream
	counts         []uint64
	version        uint64
	experts        [][]int // by set
	highestVersion uint64
	prepared       uint64
	// preparedAt is when the experts of the prepared map are loaded.
	preparedAt       time.Time
	preparedExperts  [][]int
	armed, armedStep uint64
	heldStep         uint64
}

// Stream is one streamed request.
type Stream struct {
	// Events receives the event numbers. It is closed after the last event, or
	// earlier if the stream is aborted.
	Events        chan int
	next          int
	last          int
	promptPending bool // prefill is outstanding
	cancelled     bool
}

// NewGroup starts an open group.
func NewGroup(cfg GroupConfig) *Group {
	g := &Group{
		cfg: cfg, stop: make(chan struct{}), rng: rand.New(rand.NewPCG(cfg.Seed, 7)), missing: make(map[int]time.Time),
	}
	for range cfg.LayerSets {
		g.popular = append(g.popular, g.rng.Perm(cfg.ExpertsPerSet))
	}
	for range cfg.Ranks {
		g.ranks = append(g.ranks, &rank{startMillis: time.Now().UnixMilli(), counts: make([]uint64, cfg.LayerSets*cfg.ExpertsPerSet)})
	}
	g.startEpoch()
	go g.run()
	return g
}

// Close stops the group.
func (g *Group) Close() { close(g.stop) }

// startEpoch starts an epoch with the initial map. The caller holds mu.
func (g *Group) startEpoch() {
	g.epoch++
	for i, r := range g.ranks {
		r.version, r.highestVersion, r.prepared, r.armed, r.armedStep, r.heldStep = 0, 0, 0, 0, 0, 0
		r.experts = make([][]int, g.cfg.LayerSets)
		for s := range r.experts {
			for e := i; e < g.cfg.ExpertsPerSet; e += g.cfg.Ranks {
				r.experts[s] = append(r.experts[s], e)
			}
		}
	}
}

// Start queues a stream at a rank, with the events after+1 to last.
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
	s := &Stream{Events: make(chan int, last+1), next: after + 1, last: last, promptPending: true}
	r.waiting = append(r.waiting, s)
	return s, nil
}

// Cancel stops a stream whose caller has disconnected.
func (g *Group) Cancel(s *Stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.cancelled = true
}

// FailRank aborts a rank's streams at once, and all others after StallTimeout.
func (g *Group) FailRank(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.missing[i] = time.Now()
	g.opensAt = time.Time{}
	g.closeStreams(g.ranks[i])
}

// RestoreRank restarts a rank. If none is missing, a new epoch starts after FormTime.
func (g *Group) RestoreRank(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.missing, i)
	r := g.ranks[i]
	*r = rank{startMillis: time.Now().UnixMilli(), counts: make([]uint64, g.cfg.LayerSets*g.cfg.ExpertsPerSet), experts: r.experts}
	if len(g.missing) == 0 {
		g.opensAt = time.Now().Add(g.cfg.FormTime)
	}
}

// ShiftPopularity draws a new popularity order of the experts.
func (g *Group) ShiftPopularity() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.popular {
		g.popular[s] = g.rng.Perm(g.cfg.ExpertsPerSet)
	}
}

// DelayOrders reports a share of the orders as unanswered and applies them after by.
func (g *Group) DelayOrders(share float64, by time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delayedShare, g.orderDelay = share, by
}

// Status is a snapshot of a Group.
type Status struct {
	// Skew is the highest over the mean rank load in the last pass, averaged over the sets.
	Skew float64
	// MapSwitches counts activated maps, and Step passes.
	MapSwitches int
	Step        uint64
	// Held reports whether an order holds a future step.
	Held bool
	// Violations describes passes whose ranks used different maps.
	Violations []string
}

// Status returns a snapshot of the group.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{Skew: g.skew, MapSwitches: g.mapSwitches, Step: g.step, Held: g.held(), Violations: g.violations}
}

func (g *Group) held() bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.heldStep > g.step })
}

func (g *Group) closeStreams(r *rank) {
	for _, s := range append(r.running, r.waiting...) {
		close(s.Events)
	}
	r.running, r.waiting = nil, nil
}
