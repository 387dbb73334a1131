// Package plainservice simulates an HTTP service with reservations and tags for tests.
// It executes every request that it reads, without deduplication, and counts the
// executions of each key, so that tests can detect repeated requests.
package plainservice

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
)

// Headers whose value keys the execution counts. HeaderKey takes precedence.
const (
	HeaderKey  = "Idempotency-Key"
	HeaderMark = "X-Mark"
)

const (
	maxBodyBytes          = 1 << 20
	defaultMaxTrackedKeys = 1 << 20
	stockRange            = 100
)

// Config configures a Service. The zero value is usable.
type Config struct {
	// Delay is the time from execution to response. Default 0.
	Delay time.Duration
	// MaxTrackedKeys bounds the keys with counts. Default 1,048,576.
	MaxTrackedKeys int
}

// Faults are the injected faults of a service.
type Faults struct {
	// Delay is added to Config.Delay, in nanoseconds.
	Delay time.Duration `json:"delay"`
	// CutNext is the number of next requests that are executed and whose connection
	// is closed without a response.
	CutNext int `json:"cut_next"`
	// CutBodyNext is the number of next requests that are executed and whose
	// connection is closed within the response body.
	CutBodyNext int `json:"cut_body_next"`
	// FailNext is the number of next requests rejected with status 503, not executed.
	FailNext int `json:"fail_next"`
	// HangNext is the number of next requests that are executed and get no response;
	// the connection stays open until the caller gives up.
	HangNext int `json:"hang_next"`
}

// Record is a reservation, a tag or a stock count.
type Record struct {
	ID     string `json:"id"`
	Mark   string `json:"mark,omitempty"`
	Item   string `json:"item,omitempty"`
	Holder string `json:"holder,omitempty"`
	Void   bool   `json:"void,omitempty"`
	Stock  int    `json:"stock,omitempty"`
}

// Order is the request body that creates a reservation or issues a tag.
type Order struct {
	ID     string `json:"id"`
	Item   string `json:"item"`
	Holder string `json:"holder"`
}

type problem struct {
	Error string `json:"error"`
	Mark  string `json:"mark,omitempty"`
}

var (
	errMissingID  = errors.New("id is missing")
	errInjected   = errors.New("injected failure")
	errUnknownTag = errors.New("tag does not exist")
)

// Service is a simulated service. It is safe for concurrent use.
type Service struct {
	config Config

	// mu guards the fields below. No other lock is taken while it is held.
	mu           sync.Mutex
	faults       Faults
	executions   map[string]int
	untracked    int
	reservations map[string][]Record
	tags         map[string][]Record
}

// New returns a service without reservations and tags.
func New(c Config) *Service {
	if c.MaxTrackedKeys <= 0 {
		c.MaxTrackedKeys = defaultMaxTrackedKeys
	}
	return &Service{
		config:       c,
		executions:   make(map[string]int),
		reservations: make(map[string][]Record),
		tags:         make(map[string][]Record),
	}
}

// Handler serves the actions and, under /lab, execution counts and fault injection.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/reservations", s.serve(s.reserve))
	r.Post("/tags", s.serve(s.issue))
	r.Delete("/tags/{id}", s.serve(s.void))
	r.Get("/tags/{id}", s.serve(s.tag))
	r.Get("/stock/{id}", s.serve(s.stock))
	r.Get("/lab/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Executions()) })
	r.Get("/lab/tags/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, s.Tags(chi.URLParam(r, "id")))
	})
	r.Get("/lab/reservations/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, s.Reservations(chi.URLParam(r, "id")))
	})
	r.Put("/lab/faults", s.serveSetFaults)
	return r
}

// Executions returns the number of executions by key.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.executions))
	for key, n := range s.executions {
		runs[key] = n
	}
	return runs
}

// Tags returns all issues of a tag. More than one non-void issue is a duplicate.
func (s *Service) Tags(id string) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.tags[id])
}

// Reservations returns all reservations with an ID, duplicates included.
func (s *Service) Reservations(id string) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reservations[id])
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		writeJSON(w, http.StatusBadRequest, problem{Error: err.Error()})
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// call is a completely read request.
type call struct {
	id    string
	mark  string
	order Order
}

// action executes a call with s.mu held.
type action func(c call) (status int, body any)

func (s *Service) serve(act action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := readCall(w, r)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, problem{Error: err.Error(), Mark: c.mark})
			return
		}
		delay, refuse := s.admit()
		if refuse {
			writeJSON(w, http.StatusServiceUnavailable, problem{Error: errInjected.Error(), Mark: c.mark})
			return
		}
		status, body, end := s.execute(executionKey(r), c, act)
		if !wait(r, delay) && end == respondWhole {
			return
		}
		respond(w, r, status, body, end)
	}
}

// readCall reads a complete request, so that a truncated one is never executed.
func readCall(w http.ResponseWriter, r *http.Request) (call, error) {
	c := call{id: chi.URLParam(r, "id"), mark: r.Header.Get(HeaderMark)}
	if r.Method != http.MethodPost {
		return c, nil
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c.order)
	if err == nil && c.order.ID == "" {
		err = errMissingID
	}
	c.id = c.order.ID
	return c, err
}

func executionKey(r *http.Request) string {
	if key := r.Header.Get(HeaderKey); key != "" {
		return key
	}
	return r.Header.Get(HeaderMark)
}

// admit consumes an injected rejection, or returns the delay before the response.
func (s *Service) admit() (delay time.Duration, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FailNext > 0 {
		s.faults.FailNext--
		return 0, true
	}
	return s.config.Delay + s.faults.Delay, false
}

// responseFault is the injected fault in the response to an executed request.
type responseFault int

const (
	respondWhole responseFault = iota
	abortBeforeResponse
	abortInBody
	hangUntilCancelled
)

// execute counts and executes a call, and consumes an injected response fault.
func (s *Service) execute(key string, c call, act action) (int, any, responseFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.executions[key]; known || len(s.executions) < s.config.MaxTrackedKeys {
		s.executions[key]++
	} else {
		s.untracked++
	}
	status, body := act(c)
	return status, body, s.nextResponseFault()
}

func (s *Service) nextResponseFault() responseFault {
	switch {
	case s.faults.CutNext > 0:
		s.faults.CutNext--
		return abortBeforeResponse
	case s.faults.CutBodyNext > 0:
		s.faults.CutBodyNext--
		return abortInBody
	case s.faults.HangNext > 0:
		s.faults.HangNext--
		return hangUntilCancelled
	}
	return respondWhole
}

func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func respond(w http.ResponseWriter, r *http.Request, status int, body any, end responseFault) {
	switch end {
	case abortBeforeResponse:
		panic(http.ErrAbortHandler)
	case hangUntilCancelled:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case abortInBody:
		w.Header().Set("Content-Length", "4096")
		writeJSON(w, status, body)
		_ = http.NewResponseController(w).Flush() // The connection is aborted anyway.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // Fails only if the client has disconnected.
}

func (s *Service) reserve(c call) (int, any) {
	record := Record{ID: c.id, Mark: c.mark, Item: c.order.Item, Holder: c.order.Holder}
	s.reservations[c.id] = append(s.reservations[c.id], record)
	return http.StatusCreated, record
}

func (s *Service) issue(c call) (int, any) {
	record := Record{ID: c.id, Mark: c.mark, Item: c.order.Item, Holder: c.order.Holder}
	s.tags[c.id] = append(s.tags[c.id], record)
	return http.StatusCreated, record
}

// void marks the latest issue of a tag as void.
func (s *Service) void(c call) (int, any) {
	issues := s.tags[c.id]
	if len(issues) == 0 {
		return http.StatusNotFound, problem{Error: errUnknownTag.Error(), Mark: c.mark}
	}
	last := &issues[len(issues)-1]
	last.Void = true
	return http.StatusOK, Record{ID: c.id, Mark: c.mark, Item: last.Item, Holder: last.Holder, Void: true}
}

func (s *Service) tag(c call) (int, any) {
	issues := s.tags[c.id]
	if len(issues) == 0 {
		return http.StatusNotFound, problem{Error: errUnknownTag.Error(), Mark: c.mark}
	}
	record := issues[len(issues)-1]
	record.Mark = c.mark
	return http.StatusOK, record
}

// stock returns a count derived from the ID.
func (s *Service) stock(c call) (int, any) {
	stock := int(xxhash.Sum64String(c.id)%stockRange) + 1
	return http.StatusOK, Record{ID: c.id, Mark: c.mark, Stock: stock}
}
