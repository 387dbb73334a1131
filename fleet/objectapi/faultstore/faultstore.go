// Package faultstore is a objectapi.Store in front of another one, with outages,
// lost answers, a stale view and counted calls, for tests and measurements.
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
	errOutage     = errors.New("the platform is down")
	errLostAnswer = errors.New("the answer was lost")
)

// Call is a call that began at a time.
type Call struct {
	Method string
	At     time.Time
}

// Store passes calls on to an in-memory store. It is safe for concurrent use.
type Store struct {
	inner *memstore.Store

	mu      sync.Mutex // guards the fields below; the inner store is never called under it
	calls   []Call
	down    bool
	changed chan struct{} // closed and replaced when down changes
	lose    int
	back    int
}

var _ objectapi.Store = (*Store)(nil)

// New returns a store without faults.
func New(inner *memstore.Store) *Store {
	return &Store{inner: inner, changed: make(chan struct{})}
}

// Calls returns the calls so far, a watch counted as one.
func (s *Store) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// SetDown starts or ends an outage. Calls that wait fail at its start.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// LoseResponses loses the answers of the next n calls that take effect.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// SetReadLag makes reads show each object as it was n writes ago.
func (s *Store) SetReadLag(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back = n
}

// begin counts a call and returns a context that ends when an outage starts.
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

// end returns the fault that strikes an answer, if any.
func (s *Store) end() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return &objectapi.UnavailableError{Cause: errOutage}
	case s.lose > 0:
		s.lose--
		return &objectapi.UnavailableError{Cause: errLostAnswer}
	}
	return nil
}

func (s *Store) lag() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.back
}

// Get implements objectapi.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	ctx, cancel, err := s.begin(ctx, "get")
	if err != nil {
		return objectapi.Object{}, err
	}
	defer cancel()
	o, err := s.inner.GetEarlier(ctx, kind, name, s.lag())
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
	objects, revision, err := s.inner.ListEarlier(ctx, kind, s.lag())
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
