package engine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	protocol "github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/prefixhash"
)

var (
	errQueueFull      = errors.New("waiting queue is full")
	errUnknownAttempt = errors.New("unknown attempt")
	errInjected       = errors.New("injected failure")
	errClosed         = errors.New("engine is closed")
)

// AttemptStats counts what the engine did for one attempt ID.
type AttemptStats struct {
	// Accepted counts admissions to the queue.
	Accepted int `json:"accepted"`
	// Started counts sequences that entered the batch; resuming adds none.
	Started int `json:"started"`
	// Finished counts answers generated to the end, delivered or not.
	Finished int `json:"finished"`
	// Tokens counts generated tokens.
	Tokens int `json:"tokens"`
	// Pauses counts pauses.
	Pauses int `json:"pauses"`
}

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	config Config
	wake   chan struct{}
	loops  sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context

	// Only Group.mu may be locked while mu is held.
	mu        sync.Mutex
	waiting   waitingList
	running   []*sequence
	attempts  map[id.Attempt]*sequence
	stats     map[id.Attempt]*AttemptStats
	untracked int
	arrivals  uint64
	cache     *cache
	loads     loadHistory
	state     protocol.State
	permits   []permit
	faults    Faults
	stepTime  time.Duration // of the latest step
}

// New returns an engine that Start sets running.
func New(c Config) *Engine {
	c = c.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		config:   c,
		wake:     make(chan struct{}, 1),
		ctx:      ctx,
		cancel:   cancel,
		attempts: make(map[id.Attempt]*sequence),
		stats:    make(map[id.Attempt]*AttemptStats),
		cache:    newCache(c),
		loads:    loadHistory{lag: c.LoadLag},
		state:    protocol.State{Models: map[string]string{}, Step: 1},
	}
	if c.Model != "" {
		e.state.Models[c.Model] = ""
	}
	if c.Group != nil {
		e.state.Step = c.Group.register(c.Rank, e)
	}
	return e
}

// Start runs the step loop in a goroutine.
func (e *Engine) Start() {
	e.loops.Go(e.loop)
}

// Close stops the step loop and aborts all open responses.
func (e *Engine) Close() {
	e.cancel()
	e.loops.Wait()
}

func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// admit queues a completion and returns its sequence.
func (e *Engine) admit(r protocol.CompletionRequest) (*sequence, error) {
	s := &sequence{
		attempt:      r.Attempt,
		priority:     r.Priority,
		script:       newScript(r.Prompt, min(r.MaxTokens, maxTokensLimit)),
		blocks:       prefixhash.Blocks(r.Prompt, e.config.BlockWords),
		promptTokens: prefixhash.Words(r.Prompt),
		changed:      make(chan struct{}, 1),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAdmission(r); err != nil {
		return nil, err
	}
	e.arrivals++
	s.arrival = e.arrivals
	s.stats = e.statsOf(r.Attempt)
	s.stats.Accepted++
	e.attempts[r.Attempt] = s
	e.waiting.push(s)
	e.notify()
	return s, nil
}

// checkAdmission rejects a request or records its epoch. e.mu must be held.
func (e *Engine) checkAdmission(r protocol.CompletionRequest) error {
	if e.ctx.Err() != nil {
		return errClosed
	}
	if e.faults.FailNext > 0 {
		e.faults.FailNext--
		return errInjected
	}
	if err := e.checkEpoch(r.Epoch); err != nil {
		return err
	}
	if _, ok := e.state.Models[r.Model]; !ok && len(e.state.Models) > 0 {
		return &modelError{model: r.Model}
	}
	if len(e.waiting) >= e.config.MaxWaiting {
		return errQueueFull
	}
	return nil
}

func (e *Engine) statsOf(attempt id.Attempt) *AttemptStats {
	run, ok := e.stats[attempt]
	if ok {
		return run
	}
	run = new(AttemptStats)
	if len(e.stats) >= e.config.MaxTrackedAttempts {
		e.untracked++
		return run
	}
	e.stats[attempt] = run
	return run
}

// AllStats returns a copy of the statistics of all tracked attempts.
func (e *Engine) AllStats() map[id.Attempt]AttemptStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[id.Attempt]AttemptStats, len(e.stats))
	for attempt, run := range e.stats {
		runs[attempt] = *run
	}
	return runs
}

// Stats returns the statistics of one attempt, zero if it is not tracked.
func (e *Engine) Stats(attempt id.Attempt) AttemptStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run, ok := e.stats[attempt]; ok {
		return *run
	}
	return AttemptStats{}
}

// remove forgets a sequence and sets its final status. e.mu must be held.
func (e *Engine) remove(s *sequence, to status) {
	e.detach(s)
	if e.attempts[s.attempt] == s {
		delete(e.attempts, s.attempt)
	}
	s.setStatus(to)
}

// detach removes a sequence from the batch or queue. e.mu must be held.
func (e *Engine) detach(s *sequence) {
	switch s.state() {
	case statusWaiting:
		e.waiting.remove(s)
	case statusRunning:
		e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == s })
	}
}

// abandon cancels a sequence whose caller has disconnected.
func (e *Engine) abandon(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state := s.state(); state != statusDone && state != statusCancelled {
		e.remove(s, statusCancelled)
	}
}

// Cancel cancels an attempt.
func (e *Engine) Cancel(attempt id.Attempt) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.attempts[attempt]
	if !ok {
		return errUnknownAttempt
	}
	e.remove(s, statusCancelled)
	return nil
}

// Pause removes an attempt from the batch or queue and keeps its progress.
func (e *Engine) Pause(attempt id.Attempt) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.attempts[attempt]
	if !ok {
		return errUnknownAttempt
	}
	if s.state() == statusPaused {
		return nil
	}
	e.detach(s)
	s.stats.Pauses++
	s.setStatus(statusPaused)
	e.notify()
	return nil
}

// Resume returns a paused attempt to its former place in the queue.
func (e *Engine) Resume(attempt id.Attempt) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.attempts[attempt]
	if !ok {
		return errUnknownAttempt
	}
	if s.state() != statusPaused {
		return nil
	}
	s.setStatus(statusWaiting)
	e.waiting.push(s)
	e.notify()
	return nil
}

// State returns a copy of the state that orders have set.
func (e *Engine) State() protocol.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Models = maps.Clone(e.state.Models)
	return state
}

// Load returns a load report at least LoadLag old.
func (e *Engine) Load() protocol.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loads.add(now, e.currentLoad())
	return e.loads.at(now)
}

func (e *Engine) currentLoad() protocol.Load {
	return protocol.Load{
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		CachedBlocks: len(e.cache.blocks),
		StepTime:     e.stepTime,
		Slots:        e.config.Slots,
	}
}

// CacheEvents returns published cache events with a sequence number above after.
func (e *Engine) CacheEvents(after uint64) []protocol.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.after(after, time.Now())
}
