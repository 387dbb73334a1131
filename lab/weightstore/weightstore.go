// Package weightstore is a stand-in for a rate-limited store of expert weights.
// The weights are zero bytes.
package weightstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

const (
	defaultExpertBytes = 1 << 20
	defaultBurst       = 64 << 10
	maxExpertBytes     = 1 << 32
)

// HeaderCaller names the caller for whom bytes are counted.
const HeaderCaller = "X-Caller"

// Config sets up a Store.
type Config struct {
	// BytesPerSecond bounds all answers together. Zero means no bound.
	BytesPerSecond int
	// Burst is the bound's bucket and the size of one write. Default 64 KiB.
	Burst int
	// ExpertBytes is the size of one expert in one layer. Default 1 MiB. A
	// request may ask for another size by the query parameter bytes.
	ExpertBytes int64
	// Layers and Experts bound the indices. Zero means no bound.
	Layers, Experts int
}

// Store is the stand-in. Its methods are safe for concurrent use.
type Store struct {
	config  Config
	limiter *rate.Limiter
	zeros   []byte

	// mu is a leaf lock.
	mu    sync.Mutex
	bytes map[string]int64
}

// New returns a store.
func New(c Config) *Store {
	if c.Burst <= 0 {
		c.Burst = defaultBurst
	}
	if c.ExpertBytes <= 0 {
		c.ExpertBytes = defaultExpertBytes
	}
	limit := rate.Inf
	if c.BytesPerSecond > 0 {
		limit = rate.Limit(c.BytesPerSecond)
	}
	return &Store{
		config:  c,
		limiter: rate.NewLimiter(limit, c.Burst),
		zeros:   make([]byte, c.Burst),
		bytes:   make(map[string]int64),
	}
}

// Handler returns the HTTP interface: GET /weights/{layer}/{expert} and the
// count of bytes by caller at GET /lab/bytes.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/weights/{layer}/{expert}", s.serve)
	r.Get("/lab/bytes", s.serveBytes)
	return r
}

// Bytes returns the bytes sent to each caller.
func (s *Store) Bytes() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.bytes)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	if !index(r, "layer", s.config.Layers) || !index(r, "expert", s.config.Experts) {
		http.Error(w, "layer or expert does not exist", http.StatusNotFound)
		return
	}
	size, ok := s.size(r)
	if !ok {
		http.Error(w, "bytes is not a size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	s.stream(w, r, size)
}

// index reports whether a path parameter is an index below the bound.
func index(r *http.Request, name string, bound int) bool {
	n, err := strconv.Atoi(chi.URLParam(r, name))
	return err == nil && n >= 0 && (bound <= 0 || n < bound)
}

func (s *Store) size(r *http.Request) (int64, bool) {
	text := r.URL.Query().Get("bytes")
	if text == "" {
		return s.config.ExpertBytes, true
	}
	size, err := strconv.ParseInt(text, 10, 64)
	return size, err == nil && size >= 0 && size <= maxExpertBytes
}

// stream sends size bytes at the limited rate, without holding back in buffers
// what the rate allows.
func (s *Store) stream(w http.ResponseWriter, r *http.Request, size int64) {
	caller := r.Header.Get(HeaderCaller)
	flusher := http.NewResponseController(w)
	for size > 0 {
		n := int(min(size, int64(len(s.zeros))))
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(s.zeros[:n]); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
		s.count(caller, n)
		size -= int64(n)
	}
}

func (s *Store) count(caller string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes[caller] += int64(n)
}

func (s *Store) serveBytes(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Bytes()) // The client has gone if this fails.
}
