package direct

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/quarantine"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/intake"
	"github.com/siskinford/siskinford/entry/routes"
)

// Options are the dependencies of a Handler.
type Options struct {
	Codec Codec
	// Host is the host of the entry.
	Host id.Host
	// OnQuarantineChange is called when EncodeQuarantine returns something new. It must not
	// block. It may be nil.
	OnQuarantineChange func()
	// Entries returns the number of entries that share the retry budget.
	Entries func() int
	// Retries is the budget of all entries together for each service.
	Retries retry.WindowConfig
	// ColdOverage and ColdSlack bound the requests of all entries together that a cold endpoint gets
	// in any second: its service's ColdRate × ColdOverage + ColdSlack. Default: an overage of 1.
	ColdOverage, ColdSlack float64
	// Source is the local address for connections to endpoints. Default: chosen by the
	// operating system.
	Source netip.Addr
	// Intake bounds the connections to endpoints. Default: no bound.
	Intake *intake.Account
	// AwaitEvacuated keeps requests from all endpoints until SetEvacuated is called.
	AwaitEvacuated bool
	// LearnLimits turns on learnt limits and speeds of endpoints.
	LearnLimits bool
	Log         zerolog.Logger
	// Metrics receives counters and histograms. Default: a new set.
	Metrics *metrics.Set
}

// Handler serves client requests. It is safe for concurrent use.
type Handler struct {
	opt        Options
	requestLog requestLog
	directory  *Directory
	table      atomic.Pointer[routes.Table]
	drain      *drain

	mu        sync.RWMutex // locked before Directory.mu and Service.mu
	services  map[id.Service]*Service
	evacuated evacuatedZones
	// entries and self are those of the last SetEntries.
	entries []id.Host
	self    id.Host
}

// NewHandler returns a handler without a configuration.
func NewHandler(o Options) *Handler {
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	h := &Handler{opt: o, requestLog: requestLog{log: o.Log, set: o.Metrics}, directory: NewDirectory(o.Source, o.Intake), services: make(map[id.Service]*Service), drain: newDrain()}
	if !o.AwaitEvacuated {
		h.evacuated = evacuatedZones{}
	}
	return h
}

// SetTable applies a version of the configuration.
func (h *Handler) SetTable(t *routes.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[id.Service]*Service)
	for _, c := range t.Services() {
		s := h.services[c.Name]
		if s == nil {
			s = newService(c, h.opt, h.evacuated)
			s.setEntries(h.entries, h.self)
		} else {
			s.configure(c)
		}
		s.setBackends(h.directory.Backends(c.Name))
		next[c.Name] = s
	}
	h.services = next
	h.table.Store(t)
}

// Table returns the current configuration, or nil.
func (h *Handler) Table() *routes.Table { return h.table.Load() }

// SetEndpoints replaces the endpoints of all services.
func (h *Handler) SetEndpoints(list []Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory.Set(list)
	for name, s := range h.services {
		s.setBackends(h.directory.Backends(name))
	}
}

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
	// defaultTimeout applies if neither client nor route sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultTarget is the target latency of routes that set none.
	defaultTarget = 500 * time.Millisecond
)

// request is a client request in progress.
type request struct {
	info    RequestInfo
	route   *routes.Route
	service *Service
	team    *routes.Team
	// version is that of the configuration in use for the request.
	version uint64
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
	// conn accounts for what the request holds. It may be nil.
	conn  *intake.Conn
	began time.Time
	// deadline is the earlier of the client's and the route's deadline.
	deadline time.Time
	attemptCounts
	// parts are the shared parts of the prompt.
	parts []id.Part
	// trial is true while the request is the trial of a part, running while it is at an endpoint;
	// guarded by partQuarantine.mu.
	trial, running bool
}

// attemptCounts counts the attempts of a request. Methods lock it while a hedge may run beside the first attempt; once
// both have ended, the goroutine of the request reads the fields.
type attemptCounts struct {
	mu sync.Mutex // leaf lock
	// sent is the number of endpoints that may have received the request.
	sent int
	// refused is the number of them that will not execute it.
	refused int
	// groupDownRefusals counts the refusals because the endpoint's group was down.
	groupDownRefusals int
	// mayHaveRun is true after an attempt that may have been executed.
	mayHaveRun bool
	// excluded lists the endpoints that must not be tried again.
	excluded []id.Endpoint
}

// start counts an attempt that is about to be sent and returns its number.
func (a *attemptCounts) start() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	return a.sent
}

// notSent takes back an attempt of which no byte was sent.
func (a *attemptCounts) notSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent--
}

// sentCount returns the number of endpoints that may have received the request.
func (a *attemptCounts) sentCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

// counted returns the attempts that count for the route's limit.
func (a *attemptCounts) counted() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent - a.groupDownRefusals
}

func (a *attemptCounts) setMayHaveRun() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mayHaveRun = true
}

// addRefusal counts an attempt that will not be executed.
func (a *attemptCounts) addRefusal(groupDown bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
	if groupDown {
		a.groupDownRefusals++
	}
}

// exclude keeps further attempts from an endpoint.
func (a *attemptCounts) exclude(name id.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.excluded = append(a.excluded, name)
}

func (a *attemptCounts) hasExcluded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.excluded) > 0
}

// excludedAnd returns the excluded endpoints and others.
func (a *attemptCounts) excludedAnd(names ...id.Endpoint) []id.Endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Concat(a.excluded, names)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, ok := h.accept(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer h.drain.endAtDrain(end)()
	if len(q.parts) > 0 {
		q.service.quarantine.watch(q, end)
		defer q.service.quarantine.unwatch(q)
		defer q.service.quarantine.end(q)
	}
	q.service.CountRequest()
	if q.route.Kind == routes.Streaming {
		h.serveStream(ctx, w, q)
		return
	}
	h.serveBuffered(ctx, w, q)
}

// accept resolves route and team and reads the body. It returns false after a rejection.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request) (*request, bool) {
	began := time.Now()
	info, err := h.opt.Codec.ParseRequest(r.Header)
	if err != nil {
		h.reject(w, r, info, http.StatusBadRequest, err.Error())
		return nil, false
	}
	table := h.table.Load()
	if table == nil {
		h.reject(w, r, info, http.StatusServiceUnavailable, "no configuration is known yet")
		return nil, false
	}
	route := table.Route(r.Host, r.URL.EscapedPath())
	if route == nil {
		h.reject(w, r, info, http.StatusNotFound, "no route matches")
		return nil, false
	}
	var team *routes.Team
	if table.RequiresKey() && !route.Public {
		if team = table.Team(info.Key); team == nil {
			h.reject(w, r, info, http.StatusUnauthorized, "the key is unknown")
			return nil, false
		}
	}
	service := h.Service(route.Pick())
	if service == nil {
		h.reject(w, r, info, http.StatusServiceUnavailable, "the service has no state")
		return nil, false
	}
	q := &request{
		info: info, route: route, service: service, team: team, version: table.Version(), method: r.Method, target: r.RequestURI,
		host: r.Host, header: endToEndHeader(r.Header), began: began, deadline: began.Add(requestTimeout(info, route)),
		parts: quarantine.Parts(info.SharedParts), conn: intake.FromContext(r.Context()),
	}
	if q.body, err = h.readBody(w, r, table.Limits().MaxBodyBytes, q); err != nil {
		h.bodyError(w, r, info, err)
		return nil, false
	}
	return q, true
}

func requestTimeout(c RequestInfo, r *routes.Route) time.Duration {
	timeout := defaultTimeout
	if r.Timeout > 0 {
		timeout = r.Timeout
	}
	if c.Timeout > 0 {
		timeout = min(timeout, c.Timeout)
	}
	return timeout
}

// teamName returns the name of the request's team, empty on public routes.
func (q *request) teamName() id.Team {
	if q.team == nil {
		return ""
	}
	return q.team.Name
}

// priority returns the priority of the team or else of the route, zero first.
func (q *request) priority() int {
	if q.team != nil && q.team.Priority != nil {
		return *q.team.Priority
	}
	return q.route.Priority
}

// maxEndpointPriority is the least urgent priority that endpoints know.
const maxEndpointPriority = 9

// endpointPriority returns the priority of the request at the endpoint, zero first: that of the team, and
// below it that of the route.
func (q *request) endpointPriority() int {
	routes := q.service.routePriorities()
	if len(routes) < 2 {
		return q.priority()
	}
	i, _ := slices.BinarySearch(routes, q.route.Priority)
	return min(q.priority()*len(routes)+i, maxEndpointPriority)
}

// queued returns a callback that logs that the request has to wait.
func (h *Handler) queued(q *request) func(scheduler.Occupancy) {
	return func(s scheduler.Occupancy) { h.requestLog.queued(q, s) }
}

// schedulerRequest describes the request to the scheduler.
func (q *request) schedulerRequest() scheduler.Request {
	target := q.route.TargetLatency
	if target <= 0 {
		target = defaultTarget
	}
	base := q.service.start
	var silence time.Duration
	if q.route.Kind == routes.Streaming {
		silence = q.began.Add(maxSilence(q.route)).Sub(base)
	}
	return scheduler.Request{
		Arrival: q.began.Sub(base), Target: q.began.Add(target).Sub(base), Deadline: q.deadline.Sub(base), FirstEventDeadline: silence,
		Priority: q.priority(), Rank: scheduler.Rank{Team: q.priority(), Route: q.route.Priority}, Team: q.teamName(),
		PromptTokens: q.info.PromptTokens, Exclude: q.excluded,
	}
}
