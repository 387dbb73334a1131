// Package weightstore is a test stand-in for a rate-limited store of expert weights,
// whose content is all zeros.
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

// HeaderCaller is the request header with the caller whose bytes are counted.
const HeaderCaller = "X-Caller"

// Config configures a Store.
type Config struct {
	// BytesPerSecond limits the rate of all responses together. Zero means no limit.
	BytesPerSecond int
	// Burst is the size in bytes of the token bucket and of each write. Default 64 KiB.
	Burst int
	// ExpertBytes is the size of one expert in one layer. Default 1 MiB. The query
	// parameter bytes overrides it for a request.
	ExpertBytes int64
	// Layers and Experts are the exclusive upper bounds of the indices. Zero means none.
	Layers, Experts int
}

// Store is the stand-in. Its methods are safe for concurrent use.
type Store struct {
	config  Config
	limiter *rate.Limiter
	zeros   []byte

	mu            sync.Mutex // leaf lock
	bytesByCaller map[string]int64
}

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
		config:        c,
		limiter:       rate.NewLimiter(limit, c.Burst),
		zeros:         make([]byte, c.Burst),
		bytesByCaller: make(map[string]int64),
	}
}

// Handler returns the HTTP API: GET /weights/{layer}/{expert} sends weights, and
// GET /lab/bytes returns the bytes sent by caller.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/weights/{layer}/{expert}", s.serveWeights)
	r.Get("/lab/bytes", s.serveBytes)
	return r
}

// BytesByCaller returns the bytes sent to each caller.
func (s *Store) BytesByCaller() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.bytesByCaller)
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	if !validIndex(r, "layer", s.config.Layers) || !validIndex(r, "expert", s.config.Experts) {
		http.Error(w, "layer or expert does not exist", http.StatusNotFound)
		return
	}
	size, ok := s.requestedSize(r)
	if !ok {
		http.Error(w, "bytes is not a size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	s.stream(w, r, size)
}

// validIndex reports whether a path parameter is a valid index. A bound of zero means none.
func validIndex(r *http.Request, name string, bound int) bool {
	n, err := strconv.Atoi(chi.URLParam(r, name))
	return err == nil && n >= 0 && (bound <= 0 || n < bound)
}

func (s *Store) requestedSize(r *http.Request) (int64, bool) {
	text := r.URL.Query().Get("bytes")
	if text == "" {
		return s.config.ExpertBytes, true
	}
	size, err := strconv.ParseInt(text, 10, 64)
	return size, err == nil && size >= 0 && size <= maxExpertBytes
}

// stream sends size bytes at the limited rate. It flushes each write, so that
// buffering does not delay what the rate allows.
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
	s.bytesByCaller[caller] += int64(n)
}

func (s *Store) serveBytes(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.BytesByCaller()) // fails only if the client has disconnected
}
