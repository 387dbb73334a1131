package direct

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/intake"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

// Options are the parts of an entry that a Handler works with.
type Options struct {
	Codec Codec
	// Entries returns the number of entries that share the budget of retries.
	Entries func() int
	// Retries is the budget of all entries for each service.
	Retries retry.WindowConfig
	// Source is the address of this host from which connections to endpoints are
	// opened. Default: the operating system's choice.
	Source netip.Addr
	Log    zerolog.Logger
	// Metrics receives counters and histograms. Default: a set of its own.
	Metrics *metrics.Set
}

// Handler serves the requests of clients. It is safe for concurrent use.
type Handler struct {
	opt       Options
	journal   journal
	directory *Directory
	table     atomic.Pointer[routes.Table]

	mu       sync.RWMutex // taken before the locks of Directory and Service
	services map[id.Service]*Service
}

// NewHandler returns a handler without a configuration.
func NewHandler(o Options) *Handler {
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return &Handler{opt: o, journal: journal{log: o.Log, set: o.Metrics}, directory: NewDirectory(o.Source), services: make(map[id.Service]*Service)}
}

// SetTable brings a version of the configuration into force.
func (h *Handler) SetTable(t *routes.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[id.Service]*Service)
	for _, c := range t.Services() {
		s := h.services[c.Name]
		if s == nil {
			s = newService(c, h.opt)
		} else {
			s.configure(c)
		}
		s.setBackends(h.directory.Service(c.Name))
		next[c.Name] = s
	}
	h.services = next
	h.table.Store(t)
}

// Table returns the configuration in force, or nil.
func (h *Handler) Table() *routes.Table { return h.table.Load() }

// SetEndpoints replaces the endpoints of all services.
func (h *Handler) SetEndpoints(list []Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory.Set(list)
	for name, s := range h.services {
		s.setBackends(h.directory.Service(name))
	}
}

// Directory returns the endpoints.
func (h *Handler) Directory() *Directory { return h.directory }

// Service returns the state of a service, or nil.
func (h *Handler) Service(name id.Service) *Service {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.services[name]
}

// Services returns the state of all services.
func (h *Handler) Services() map[id.Service]*Service {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make(map[id.Service]*Service, len(h.services))
	for name, s := range h.services {
		out[name] = s
	}
	return out
}

const (
	// defaultPatience stands in for the time that neither client nor route give.
	defaultPatience = 30 * time.Second
	// defaultTarget stands in for the time to the answer that a route does not give.
	defaultTarget = 500 * time.Millisecond
)

// request is one request on its way.
type request struct {
	call    RequestInfo
	route   *routes.Route
	service *Service
	team    *routes.Team
	// version is that of the configuration by which the request is handled.
	version uint64
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
	began   time.Time
	// deadline is when the client or the route gives up.
	deadline time.Time
	// sent is the number of endpoints that may have received the request.
	sent int
	// refused is the number of them that said that they will not run it.
	refused int
	// groupDown is the number of refusals because the endpoint's group was down.
	groupDown int
	// mayHaveRun is true once a try did not say that it has not run.
	mayHaveRun bool
	// failed lists the endpoints that are not to be tried again.
	failed []id.Endpoint
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, ok := h.accept(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.service.CountRequest()
	if q.route.Kind == routes.Streaming {
		h.serveStream(ctx, w, q)
		return
	}
	h.serveWhole(ctx, w, q)
}

// accept finds the route and team of a request and reads its body. It is false
// if the request was answered.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request) (*request, bool) {
	began := time.Now()
	call, err := h.opt.Codec.ParseRequest(r.Header)
	if err != nil {
		h.reject(w, r, call, http.StatusBadRequest, err.Error())
		return nil, false
	}
	table := h.table.Load()
	if table == nil {
		h.reject(w, r, call, http.StatusServiceUnavailable, "no configuration is known yet")
		return nil, false
	}
	route := table.Route(r.Host, r.URL.EscapedPath())
	if route == nil {
		h.reject(w, r, call, http.StatusNotFound, "no route matches")
		return nil, false
	}
	var team *routes.Team
	if table.RequiresKey() && !route.Public {
		if team = table.Team(call.Key); team == nil {
			h.reject(w, r, call, http.StatusUnauthorized, "the key is unknown")
			return nil, false
		}
	}
	service := h.Service(route.Pick())
	if service == nil {
		h.reject(w, r, call, http.StatusServiceUnavailable, "the service has no state")
		return nil, false
	}
	q := &request{
		call: call, route: route, service: service, team: team, version: table.Version(), method: r.Method, target: r.RequestURI,
		host: r.Host, header: forwardable(r.Header), began: began, deadline: began.Add(patience(call, route)),
	}
	if q.body, err = readBody(w, r, table.Limits().MaxBodyBytes, q.deadline); err != nil {
		h.bodyError(w, r, call, err)
		return nil, false
	}
	return q, true
}

func patience(c RequestInfo, r *routes.Route) time.Duration {
	p := defaultPatience
	if r.Timeout > 0 {
		p = r.Timeout
	}
	if c.Timeout > 0 {
		p = min(p, c.Timeout)
	}
	return p
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "read deadline")
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	b, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	return b, rc.SetReadDeadline(time.Time{})
}

func (h *Handler) bodyError(w http.ResponseWriter, r *http.Request, call RequestInfo, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		h.reject(w, r, call, http.StatusRequestEntityTooLarge, "the body is too large")
		return
	}
	panic(http.ErrAbortHandler) // The client went away or stopped sending.
}

// priority returns the rank of the request, zero first.
func (q *request) priority() int {
	if q.team != nil && q.team.Priority != nil {
		return *q.team.Priority
	}
	return q.route.Priority
}

// queued returns what logs that a request has to wait.
func (h *Handler) queued(q *request) func(intake.Occupancy) {
	return func(s intake.Occupancy) { h.journal.queued(q, s) }
}

// ask describes the request to the intake.
func (q *request) ask() intake.Request {
	target := q.route.TargetLatency
	if target <= 0 {
		target = defaultTarget
	}
	base := q.service.began
	var silence time.Duration
	if q.route.Kind == routes.Streaming {
		silence = q.began.Add(silenceLimit(q.route)).Sub(base)
	}
	return intake.Request{
		Arrival: q.began.Sub(base), Target: q.began.Add(target).Sub(base), Deadline: q.deadline.Sub(base), FirstEventDeadline: silence,
		Priority: q.priority(), PromptTokens: q.call.PromptTokens, Exclude: q.failed,
	}
}
