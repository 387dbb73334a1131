// Package plainservice is a stand-in for a plain service with reservations and
// tags. It runs every request that it reads, never removes duplicates, and
// counts the runs of each key as a witness of how often an action ran.
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

// Header fields by which runs are counted. The idempotency key goes first.
const (
	HeaderKey  = "Idempotency-Key"
	HeaderMark = "X-Mark"
)

const (
	maxBodyBytes   = 1 << 20
	defaultMaxRuns = 1 << 20
	stockRange     = 100
)

// Config sets up a Service. The zero value is usable.
type Config struct {
	// Delay is the time that each run takes. Default 0.
	Delay time.Duration
	// MaxTrackedKeys bounds the keys that are counted. Default 1,048,576.
	MaxTrackedKeys int
}

// Faults are the injected faults of a service.
type Faults struct {
	// Delay is added to each run, in nanoseconds.
	Delay time.Duration `json:"delay"`
	// CutNext is the number of requests that run and get no answer: the
	// connection is closed instead.
	CutNext int `json:"cut_next"`
	// CutBodyNext is the number of requests that run and whose answer is cut
	// in the middle of the body.
	CutBodyNext int `json:"cut_body_next"`
	// FailNext is the number of requests to refuse with status 503, without a run.
	FailNext int `json:"fail_next"`
	// HangNext is the number of requests that run and are answered only when
	// the caller gives up.
	HangNext int `json:"hang_next"`
}

// Record is a reservation, tag or stock answer.
type Record struct {
	ID     string `json:"id"`
	Mark   string `json:"mark,omitempty"`
	Item   string `json:"item,omitempty"`
	Holder string `json:"holder,omitempty"`
	Void   bool   `json:"void,omitempty"`
	Stock  int    `json:"stock,omitempty"`
}

// Order is the body of a reservation or of the issue of a tag.
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
	errNoID     = errors.New("id is missing")
	errInjected = errors.New("injected failure")
	errNoTag    = errors.New("tag does not exist")
)

// Service is the stand-in. Its methods are safe for concurrent use.
type Service struct {
	config Config

	// mu is a leaf lock.
	mu           sync.Mutex
	faults       Faults
	runs         map[string]int
	lostRuns     int
	reservations map[string][]Record
	tags         map[string][]Record
}

// New returns a service without reservations and tags.
func New(c Config) *Service {
	if c.MaxTrackedKeys <= 0 {
		c.MaxTrackedKeys = defaultMaxRuns
	}
	return &Service{
		config:       c,
		runs:         make(map[string]int),
		reservations: make(map[string][]Record),
		tags:         make(map[string][]Record),
	}
}

// Handler returns the HTTP interface and, under /lab, its witness and faults.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/reservations", s.run(s.reserve))
	r.Post("/tags", s.run(s.issue))
	r.Delete("/tags/{id}", s.run(s.void))
	r.Get("/tags/{id}", s.run(s.tag))
	r.Get("/stock/{id}", s.run(s.stock))
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

// Executions returns how often requests of each key ran.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// Tags returns all issues of a tag. More than one that is not void is a double issue.
func (s *Service) Tags(id string) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.tags[id])
}

// Reservations returns all reservations of an ID.
func (s *Service) Reservations(id string) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reservations[id])
}

// SetFaults replaces the faults in force.
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

// call is one request that has been read whole.
type call struct {
	id    string
	mark  string
	order Order
}

// action performs a call. s.mu is held.
type action func(c call) (status int, body any)

func (s *Service) run(act action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := readCall(w, r)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, problem{Error: err.Error(), Mark: c.mark})
			return
		}
		delay, refuse := s.before()
		if refuse {
			writeJSON(w, http.StatusServiceUnavailable, problem{Error: errInjected.Error(), Mark: c.mark})
			return
		}
		status, body, end := s.perform(runKey(r), c, act)
		if !wait(r, delay) && end == endAnswer {
			return
		}
		answer(w, r, status, body, end)
	}
}

// readCall reads a request whole, so that nothing runs of a request that was cut.
func readCall(w http.ResponseWriter, r *http.Request) (call, error) {
	c := call{id: chi.URLParam(r, "id"), mark: r.Header.Get(HeaderMark)}
	if r.Method != http.MethodPost {
		return c, nil
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c.order)
	if err == nil && c.order.ID == "" {
		err = errNoID
	}
	c.id = c.order.ID
	return c, err
}

func runKey(r *http.Request) string {
	if key := r.Header.Get(HeaderKey); key != "" {
		return key
	}
	return r.Header.Get(HeaderMark)
}

// before takes the faults that apply ahead of a run.
func (s *Service) before() (delay time.Duration, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FailNext > 0 {
		s.faults.FailNext--
		return 0, true
	}
	return s.config.Delay + s.faults.Delay, false
}

// ending tells how a request that ran is answered.
type ending int

const (
	endAnswer ending = iota
	endCut
	endCutBody
	endHang
)

// perform counts and runs a call.
func (s *Service) perform(key string, c call, act action) (int, any, ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.runs[key]; known || len(s.runs) < s.config.MaxTrackedKeys {
		s.runs[key]++
	} else {
		s.lostRuns++
	}
	status, body := act(c)
	return status, body, s.ending()
}

func (s *Service) ending() ending {
	switch {
	case s.faults.CutNext > 0:
		s.faults.CutNext--
		return endCut
	case s.faults.CutBodyNext > 0:
		s.faults.CutBodyNext--
		return endCutBody
	case s.faults.HangNext > 0:
		s.faults.HangNext--
		return endHang
	}
	return endAnswer
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

func answer(w http.ResponseWriter, r *http.Request, status int, body any, end ending) {
	switch end {
	case endCut:
		panic(http.ErrAbortHandler)
	case endHang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case endCutBody:
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
	_ = json.NewEncoder(w).Encode(body) // The client has gone if this fails.
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

// void marks the last issue of a tag void.
func (s *Service) void(c call) (int, any) {
	issues := s.tags[c.id]
	if len(issues) == 0 {
		return http.StatusNotFound, problem{Error: errNoTag.Error(), Mark: c.mark}
	}
	last := &issues[len(issues)-1]
	last.Void = true
	return http.StatusOK, Record{ID: c.id, Mark: c.mark, Item: last.Item, Holder: last.Holder, Void: true}
}

func (s *Service) tag(c call) (int, any) {
	issues := s.tags[c.id]
	if len(issues) == 0 {
		return http.StatusNotFound, problem{Error: errNoTag.Error(), Mark: c.mark}
	}
	record := issues[len(issues)-1]
	record.Mark = c.mark
	return http.StatusOK, record
}

// stock answers a number that depends on the ID only.
func (s *Service) stock(c call) (int, any) {
	stock := int(xxhash.Sum64String(c.id)%stockRange) + 1
	return http.StatusOK, Record{ID: c.id, Mark: c.mark, Stock: stock}
}
