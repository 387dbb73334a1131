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
	errUnknownAttempt = errors.New("attempt is not known")
	errInjected       = errors.New("injected failure")
	errClosed         = errors.New("engine is closed")
)

// AttemptStats is the witness of one attempt ID.
type AttemptStats struct {
	// Accepted counts how often the engine took the attempt in.
	Accepted int `json:"accepted"`
	// Started counts how often it came into the batch for the first time.
	Started int `json:"started"`
	// Finished counts complete answers, as generated.
	Finished int `json:"finished"`
	// Tokens counts generated tokens.
	Tokens int `json:"tokens"`
	// Pauses counts how often it was paused.
	Pauses int `json:"pauses"`
}

// Engine is the stand-in. Its methods are safe for concurrent use.
type Engine struct {
	config Config
	wake   chan struct{}
	loops  sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context

	// mu is a leaf: no other lock but Group.mu is taken while it is held.
	mu       sync.Mutex
	waiting  waitingList
	running  []*sequence
	attempts map[id.Attempt]*sequence
	runs     map[id.Attempt]*AttemptStats
	lostRuns int
	arrivals uint64
	cache    *cache
	loads    loadHistory
	state    protocol.State
	permits  []permit
	faults   Faults
	stepTime time.Duration // of the last step
}

// New returns an engine that runs after Start.
func New(c Config) *Engine {
	c = c.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		config:   c,
		wake:     make(chan struct{}, 1),
		ctx:      ctx,
		cancel:   cancel,
		attempts: make(map[id.Attempt]*sequence),
		runs:     make(map[id.Attempt]*AttemptStats),
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

// Start runs the step loop in the background.
func (e *Engine) Start() {
	e.loops.Go(e.loop)
}

// Close ends the step loop and cuts all streams.
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

// admit takes a completion in and returns its sequence.
func (e *Engine) admit(r protocol.CompletionRequest) (*sequence, error) {
	s := &sequence{
		attempt:  r.Attempt,
		priority: r.Priority,
		script:   newScript(r.Prompt, min(r.MaxTokens, maxTokensLimit)),
		blocks:   prefixhash.Blocks(r.Prompt, e.config.BlockWords),
		prompt:   prefixhash.Words(r.Prompt),
		ready:    make(chan struct{}, 1),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.refusal(r); err != nil {
		return nil, err
	}
	e.arrivals++
	s.order = e.arrivals
	s.run = e.runOf(r.Attempt)
	s.run.Accepted++
	e.attempts[r.Attempt] = s
	e.waiting.push(s)
	e.notify()
	return s, nil
}

// refusal returns the reason for which the engine does not take a request in.
func (e *Engine) refusal(r protocol.CompletionRequest) error {
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

func (e *Engine) runOf(attempt id.Attempt) *AttemptStats {
	run, ok := e.runs[attempt]
	if ok {
		return run
	}
	run = new(AttemptStats)
	if len(e.runs) >= e.config.MaxTrackedAttempts {
		e.lostRuns++
		return run
	}
	e.runs[attempt] = run
	return run
}

// AllStats returns the witness of all attempts.
func (e *Engine) AllStats() map[id.Attempt]AttemptStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[id.Attempt]AttemptStats, len(e.runs))
	for attempt, run := range e.runs {
		runs[attempt] = *run
	}
	return runs
}

// Stats returns the witness of one attempt.
func (e *Engine) Stats(attempt id.Attempt) AttemptStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run, ok := e.runs[attempt]; ok {
		return *run
	}
	return AttemptStats{}
}

// drop takes a sequence out of the engine. e.mu must be held.
func (e *Engine) drop(s *sequence, to status) {
	e.detach(s)
	if e.attempts[s.attempt] == s {
		delete(e.attempts, s.attempt)
	}
	s.set(to)
}

// detach takes a sequence out of batch and queue. e.mu must be held.
func (e *Engine) detach(s *sequence) {
	switch s.state() {
	case statusWaiting:
		e.waiting.remove(s)
	case statusRunning:
		e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == s })
	}
}

// abandon cancels a sequence whose caller has gone.
func (e *Engine) abandon(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state := s.state(); state != statusDone && state != statusCancelled {
		e.drop(s, statusCancelled)
	}
}

// Cancel ends an attempt.
func (e *Engine) Cancel(attempt id.Attempt) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.attempts[attempt]
	if !ok {
		return errUnknownAttempt
	}
	e.drop(s, statusCancelled)
	return nil
}

// Pause takes an attempt out of the batch or queue and keeps its progress.
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
	s.run.Pauses++
	s.set(statusPaused)
	e.notify()
	return nil
}

// Resume puts a paused attempt back into the queue at its old place.
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
	s.set(statusWaiting)
	e.waiting.push(s)
	e.notify()
	return nil
}

// State returns what orders have led to.
func (e *Engine) State() protocol.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Models = maps.Clone(e.state.Models)
	return state
}

// Load returns the lagging load report.
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

// CacheEvents returns the published cache events after a sequence number.
func (e *Engine) CacheEvents(after uint64) []protocol.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.after(after, time.Now())
}
