package engine

import "time"

// loop runs steps while there is work and sleeps otherwise.
func (e *Engine) loop() {
	groupActive := e.groupActive()
	for e.ctx.Err() == nil {
		if !e.runnable(groupActive) {
			if !e.sleep() {
				return
			}
			groupActive = e.groupActive()
			continue
		}
		busy, version := e.beginStep()
		if group := e.config.Group; group != nil {
			active, ok := group.join(e.ctx, e.config.Rank, version, busy)
			if !ok {
				return
			}
			groupActive = active
		}
		if !e.pause(e.schedule()) {
			return
		}
		e.advance()
	}
}

// groupActive reports whether another rank has work.
func (e *Engine) groupActive() bool {
	return e.config.Group != nil && e.config.Group.isActive()
}

// sleep blocks until the engine is notified. It returns false once it is closed.
func (e *Engine) sleep() bool {
	select {
	case <-e.ctx.Done():
		return false
	case <-e.wake:
		return true
	}
}

func (e *Engine) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-e.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// runnable reports whether the next step may begin.
func (e *Engine) runnable(groupActive bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Stall {
		return false
	}
	busy := len(e.running)+len(e.waiting) > 0
	if busy && e.config.Group != nil {
		e.config.Group.activate()
	}
	if !busy && !groupActive {
		return false
	}
	if !e.config.RequirePermits {
		return true
	}
	_, ok := e.permitted(e.state.Step)
	return ok
}

// beginStep fixes the expert map version of the step.
func (e *Engine) beginStep() (busy bool, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.RequirePermits {
		version, _ = e.permitted(e.state.Step)
		e.state.MapVersion = version
	}
	return len(e.running)+len(e.waiting) > 0, e.state.MapVersion
}

// schedule fills free slots from the queue and returns the time of the step.
func (e *Engine) schedule() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	prefill := 0
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		s := e.waiting.pop()
		prefill += e.enter(s, now)
	}
	step := e.config.StepTime
	step += e.config.SequenceTime * time.Duration(len(e.running))
	step += e.config.PrefillTime * time.Duration(prefill)
	if e.faults.Slow > 1 {
		step = time.Duration(float64(step) * e.faults.Slow)
	}
	e.stepTime = step
	e.loads.add(now, e.currentLoad())
	return step
}

// enter puts a sequence into the batch and returns the prompt tokens to compute.
func (e *Engine) enter(s *sequence, now time.Time) int {
	s.status.Store(int32(statusRunning))
	e.running = append(e.running, s)
	if s.prefilled {
		return 0
	}
	s.prefilled = true
	s.run.Started++
	s.cached = e.cache.use(s.blocks, now) * e.config.BlockWords
	return s.prompt - s.cached
}

// advance gives each running sequence one token and removes the finished ones.
func (e *Engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Step++
	kept := e.running[:0]
	for _, s := range e.running {
		s.run.Tokens++
		produced := s.produced.Add(1)
		if int(produced) < s.script.tokens {
			kept = append(kept, s)
			s.wake()
			continue
		}
		s.run.Finished++
		if e.attempts[s.attempt] == s {
			delete(e.attempts, s.attempt)
		}
		s.set(statusDone)
	}
	clear(e.running[len(kept):])
	e.running = kept
	if len(kept)+len(e.waiting) == 0 {
		e.loads.add(time.Now(), e.currentLoad())
	}
}
