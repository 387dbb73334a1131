// Package faultstore wraps an in-memory objectapi.Store with injected outages, lost
// responses and stale reads and records the calls, for tests and measurements.
package faultstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
)

var (
	errOutage       = errors.New("injected platform outage")
	errLostResponse = errors.New("injected loss of the response")
)

// Call is the method and start time of a recorded call.
type Call struct {
	Method string
	At     time.Time
}

// Store forwards calls to an in-memory store. It is safe for concurrent use.
type Store struct {
	inner *memstore.Store

	mu              sync.Mutex // guards the fields below; the inner store is never called under it
	calls           []Call
	down            bool
	changed         chan struct{} // closed and replaced when down changes
	responsesToLose int
	readLag         int
	era             uint64
}

var (
	_ objectapi.Store     = (*Store)(nil)
	_ objectapi.EraSource = (*Store)(nil)
)

// New returns a store without faults.
func New(inner *memstore.Store) *Store {
	return &Store{inner: inner, changed: make(chan struct{})}
}

// Calls returns all calls so far. A watch counts as one call.
func (s *Store) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// SetDown starts or ends an outage. Its start fails the calls in flight.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// LoseResponses makes the next n calls take effect and then fail.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// SetReadLag makes reads return each object as it was the given number of writes ago.
func (s *Store) SetReadLag(writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLag = writes
}

// begin records a call and returns a context that SetDown cancels.
func (s *Store) begin(ctx context.Context, method string) (context.Context, context.CancelFunc, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, Call{Method: method, At: time.Now()})
	if s.down {
		return nil, nil, &objectapi.UnavailableError{Cause: errOutage}
	}
	ctx, cancel := context.WithCancel(ctx)
	changed := s.changed
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, nil
}

// Era implements objectapi.EraSource. It is the era at the end of the last answered call.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// end returns the fault to inject after a call, if any.
func (s *Store) end() error {
	era := s.inner.Era()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.era = era
	}
	switch {
	case s.down:
		return &objectapi.UnavailableError{Cause: errOutage}
	case s.responsesToLose > 0:
		s.responsesToLose--
		return &objectapi.UnavailableError{Cause: errLostResponse}
	}
	return nil
}

func (s *Store) currentReadLag() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readLag
}

// Get implements objectapi.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	ctx, cancel, err := s.begin(ctx, "get")
	if err != nil {
		return objectapi.Object{}, err
	}
	defer cancel()
	o, err := s.inner.GetEarlier(ctx, kind, name, s.currentReadLag())
	if fault := s.end(); fault != nil {
		return objectapi.Object{}, fault
	}
	return o, err
}

// List implements objectapi.Store.
func (s *Store) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	ctx, cancel, err := s.begin(ctx, "list")
	if err != nil {
		return nil, 0, err
	}
	defer cancel()
	objects, revision, err := s.inner.ListEarlier(ctx, kind, s.currentReadLag())
	if fault := s.end(); fault != nil {
		return nil, 0, fault
	}
	return objects, revision, err
}

// Put implements objectapi.Store.
func (s *Store) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	ctx, cancel, err := s.begin(ctx, "put")
	if err != nil {
		return objectapi.Object{}, err
	}
	defer cancel()
	written, err := s.inner.Put(ctx, o)
	if fault := s.end(); fault != nil {
		return objectapi.Object{}, &objectapi.OutcomeUnknownError{Kind: o.Kind, Name: o.Name, Cause: fault}
	}
	return written, err
}

// Delete implements objectapi.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, version uint64) error {
	ctx, cancel, err := s.begin(ctx, "delete")
	if err != nil {
		return err
	}
	defer cancel()
	err = s.inner.Delete(ctx, kind, name, version)
	if fault := s.end(); fault != nil {
		return &objectapi.OutcomeUnknownError{Kind: kind, Name: name, Cause: fault}
	}
	return err
}

// Watch implements objectapi.Store.
func (s *Store) Watch(ctx context.Context, kind string, after uint64) ([]objectapi.Object, uint64, error) {
	ctx, cancel, err := s.begin(ctx, "watch")
	if err != nil {
		return nil, 0, err
	}
	defer cancel()
	objects, revision, err := s.inner.Watch(ctx, kind, after)
	if fault := s.end(); fault != nil {
		return nil, 0, fault
	}
	return objects, revision, err
}

// Hosts implements objectapi.Store.
func (s *Store) Hosts(ctx context.Context) ([]objectapi.Host, error) {
	ctx, cancel, err := s.begin(ctx, "hosts")
	if err != nil {
		return nil, err
	}
	defer cancel()
	hosts, err := s.inner.Hosts(ctx)
	if fault := s.end(); fault != nil {
		return nil, fault
	}
	return hosts, err
}
