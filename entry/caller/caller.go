package caller

import (
	"context"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/wire/msg"
)

// Catalog looks up teams and services in the configuration in force. It is
// implemented by *config.Snapshot.
type Catalog interface {
	TeamByKey(key string) (config.Team, bool)
	Service(name id.Service) (config.Service, bool)
	ServiceByModel(model string) (config.Service, bool)
	Services() []config.Service
}

// Dispatcher dispatches calls. It is implemented by *dispatch.Dispatcher.
type Dispatcher interface {
	Run(ctx context.Context, c *dispatch.Call, sink dispatch.Sink) dispatch.Result
}

// Admitter decides whether a call may proceed to dispatch.
type Admitter interface {
	// Admit returns a problem if the call is refused, and otherwise a function that
	// must be called once the call has ended, with the number of tokens used.
	Admit(t config.Team, c *dispatch.Call) (release func(tokens uint32), refused *problem.Problem)
}

// Actions binds non-idempotent actions to an endpoint and an agent incarnation.
type Actions interface {
	// IssueTicket returns a ticket for one action of a team.
	IssueTicket(ctx context.Context, team id.Team, service id.Service) (Ticket, *problem.Problem)
	// BindTicket sets Action, Ticket and Binding of a call from a ticket.
	BindTicket(c *dispatch.Call, ticket string) *problem.Problem
	// BindKey claims an idempotency key chosen by the caller and sets Action and Binding.
	BindKey(ctx context.Context, c *dispatch.Call, key string) *problem.Problem
	// Status returns the status of the action of a ticket or key.
	Status(ctx context.Context, team id.Team, service id.Service, key string) (ActionStatus, *problem.Problem)
}

// Ticket is the response body of a request for a ticket.
type Ticket struct {
	Ticket  string `json:"ticket"`
	Service string `json:"service"`
	// ExpiresAt is in RFC 3339 form.
	ExpiresAt string `json:"expires_at"`
}

// ActionStatus is the response body of a query for the status of an action.
type ActionStatus struct {
	State   msg.State       `json:"state"`
	Outcome outcome.Outcome `json:"outcome"`
}

// Deps are the dependencies of an API.
type Deps struct {
	// Catalog returns the configuration in force, or false if there is none yet.
	Catalog    func() (Catalog, bool)
	Dispatcher Dispatcher
	Admitter   Admitter
	Actions    Actions
	Recorder   timeline.Recorder
	Metrics    *Metrics
}

// API handles the HTTP requests of callers.
type API struct {
	config Config
	deps   Deps
}

func New(c Config, d Deps) *API { return &API{config: c, deps: d} }

// Handler returns the router of the API.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(withRequestID)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		a.writeProblem(w, r, problem.Newf(problem.NotFound, "path %q does not exist", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		a.writeProblem(w, r, problem.Newf(problem.MethodNotAllowed, "method %q is not allowed for path %q", r.Method, r.URL.Path))
	})
	r.Post("/v1/chat/completions", a.authenticate(a.chat))
	r.Get("/v1/models", a.authenticate(a.models))
	r.Post("/v1/services/{service}/tickets", a.authenticate(a.issueTicket))
	r.Get("/v1/services/{service}/tickets/{key}", a.authenticate(a.actionStatus))
	r.Get("/v1/services/{service}/keys/{key}", a.authenticate(a.actionStatus))
	r.HandleFunc("/v1/services/{service}", a.authenticate(a.plain))
	r.HandleFunc("/v1/services/{service}/*", a.authenticate(a.plain))
	return r
}

type requestIDKey struct{}

func withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := id.NewRequest()
		w.Header().Set(problem.HeaderRequestID, string(request))
		ctx := context.WithValue(r.Context(), requestIDKey{}, request)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func requestID(r *http.Request) id.Request {
	request, _ := r.Context().Value(requestIDKey{}).(id.Request)
	return request
}

// requestInfo is the ID, team and configuration of an authenticated request.
type requestInfo struct {
	request id.Request
	team    config.Team
	catalog Catalog
}

func (a *API) authenticate(serve func(http.ResponseWriter, *http.Request, requestInfo)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		catalog, ok := a.deps.Catalog()
		if !ok {
			a.writeProblem(w, r, problem.Newf(problem.NotReady, "no configuration is known yet"))
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			a.writeProblem(w, r, problem.Newf(problem.Unauthorized, "header %q must have the form \"Bearer KEY\"", "Authorization"))
			return
		}
		team, ok := catalog.TeamByKey(key)
		if !ok {
			a.writeProblem(w, r, problem.Newf(problem.Unauthorized, "the API key does not belong to a team"))
			return
		}
		serve(w, r, requestInfo{request: requestID(r), team: team, catalog: catalog})
	}
}

// permitted reports whether a team may use a service.
func permitted(t config.Team, s id.Service) bool {
	if len(t.Services) == 0 {
		return true
	}
	for _, name := range t.Services {
		if name == s {
			return true
		}
	}
	return false
}

// writeProblem records a problem and sends it as the response.
func (a *API) writeProblem(w http.ResponseWriter, r *http.Request, p *problem.Problem) {
	p.Request = requestID(r)
	a.deps.Recorder.Record(timeline.Event{Kind: "request.failed", Request: p.Request, Detail: redact(r, p.Error())})
	a.deps.Metrics.countFailed(p)
	p.Write(w)
}
