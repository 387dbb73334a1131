package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/wire/msg"
)

const (
	// HeaderIdempotencyKey carries an idempotency key chosen by the caller, or a ticket.
	HeaderIdempotencyKey = "Idempotency-Key"
	// plainWorkTokens is the predicted work of a plain request.
	plainWorkTokens = 1
	// ticketPrefix distinguishes tickets from keys chosen by callers.
	ticketPrefix = "skt1."
)

// unforwardedHeaders are hop-by-hop fields, credentials and fields that net/http sets.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Host": true, "Content-Length": true,
}

func (a *API) plain(w http.ResponseWriter, r *http.Request, c requestInfo) {
	service, p := a.plainService(r, c)
	if p != nil {
		a.writeProblem(w, r, p)
		return
	}
	body, p := a.readBody(w, r)
	if p != nil {
		a.writeProblem(w, r, p)
		return
	}
	call := newPlainCall(r, c, service, body)
	release, p := a.deps.Admitter.Admit(c.team, call)
	if p != nil {
		a.writeProblem(w, r, withActionOutcome(r, p))
		return
	}
	if p := a.bindAction(r, call); p != nil {
		release(0)
		a.writeProblem(w, r, withActionOutcome(r, p))
		return
	}
	broken := a.runPlain(w, r, call)
	release(plainWorkTokens)
	if broken {
		panic(http.ErrAbortHandler)
	}
}

func (a *API) plainService(r *http.Request, c requestInfo) (config.Service, *problem.Problem) {
	name := id.Service(chi.URLParam(r, "service"))
	service, ok := c.catalog.Service(name)
	if !ok || service.Type != config.ServiceTypePlain {
		return service, problem.Newf(problem.UnknownService, "plain service %q does not exist", name)
	}
	if !permitted(c.team, name) {
		return service, problem.Newf(problem.Forbidden, "team %q may not use service %q", c.team.Name, name)
	}
	return service, nil
}

func newPlainCall(r *http.Request, c requestInfo, s config.Service, body []byte) *dispatch.Call {
	path := "/" + chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &dispatch.Call{
		Request:     c.request,
		Team:        c.team.Name,
		Service:     s.Name,
		Idempotent:  s.Idempotent || r.Method == http.MethodGet || r.Method == http.MethodHead,
		Deadline:    time.Now().Add(s.Deadline()),
		Work:        plainWorkTokens,
		PayloadHash: payloadHash(r.Method, path, body),
		Plain:       &msg.HTTPRequest{Method: r.Method, Path: path, Header: forwardedHeaders(r.Header), Body: body},
	}
}

func payloadHash(method, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + path + "\n")
	_, _ = d.Write(body)
	return d.Sum64()
}

func forwardedHeaders(h http.Header) []msg.Header {
	hopByHop := map[string]bool{}
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	var out []msg.Header
	for name, values := range h {
		if unforwardedHeaders[name] || hopByHop[name] {
			continue
		}
		for _, v := range values {
			out = append(out, msg.Header{Name: name, Value: v})
		}
	}
	return out
}

// withActionOutcome sets the outcome of the action to unknown if the request has an
// idempotency key and the problem states no outcome.
func withActionOutcome(r *http.Request, p *problem.Problem) *problem.Problem {
	if r.Header.Get(HeaderIdempotencyKey) != "" && p.ActionOutcome == "" {
		p.ActionOutcome = outcome.Unknown
	}
	return p
}

// bindAction binds a request with an idempotency key to an endpoint and incarnation.
func (a *API) bindAction(r *http.Request, call *dispatch.Call) *problem.Problem {
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return nil
	}
	call.Idempotent = false
	if strings.HasPrefix(key, ticketPrefix) {
		return a.deps.Actions.BindTicket(call, key)
	}
	return a.deps.Actions.BindKey(r.Context(), call, key)
}

// runPlain returns whether the response broke off after its header was sent.
func (a *API) runPlain(w http.ResponseWriter, r *http.Request, call *dispatch.Call) (broken bool) {
	sink := &plainWriter{w: w}
	result := a.deps.Dispatcher.Run(r.Context(), call, sink)
	switch {
	case result.Problem == nil && sink.head != nil:
		sink.sendHead(result.Outcome)
		a.deps.Metrics.countAnswered(result.Outcome)
	case sink.headSent:
		a.deps.Metrics.countFailed(result.Problem)
		return true
	case result.Problem == nil:
		a.writeProblem(w, r, problem.UnknownOutcomef(problem.AnswerIncomplete, "endpoint %q sent no status", result.Endpoint))
	default:
		a.writeProblem(w, r, withActionOutcome(r, result.Problem))
	}
	return false
}

// maxBufferedBytes is the size up to which a plain response is buffered until its
// end, so that its status and outcome are certain when they are sent.
const maxBufferedBytes = 64 << 10

// plainWriter sends the response of a plain service. It implements dispatch.Sink.
type plainWriter struct {
	w        http.ResponseWriter
	head     *msg.ResponseHead
	buffered []byte
	headSent bool
}

// WriteFrames implements dispatch.Sink.
func (p *plainWriter) WriteFrames(batch []*msg.Frame) error {
	for _, f := range batch {
		if f.Head != nil {
			p.head = f.Head
		}
		p.buffered = append(p.buffered, f.Data...)
	}
	if len(p.buffered) <= maxBufferedBytes || p.head == nil {
		return nil
	}
	p.sendHead("")
	return nil
}

// sendHead sends the header unless it was sent before, and then the buffered body. o
// is empty if the outcome is not known yet.
func (p *plainWriter) sendHead(o outcome.Outcome) {
	if !p.headSent {
		p.headSent = true
		h := p.w.Header()
		for _, field := range p.head.Header {
			if !unforwardedHeaders[http.CanonicalHeaderKey(field.Name)] {
				h.Add(field.Name, field.Value)
			}
		}
		if o != "" {
			h.Set(outcome.Header, string(o))
			h.Set("Content-Length", strconv.Itoa(len(p.buffered)))
		} else {
			h.Set("Trailer", outcome.Header)
		}
		p.w.WriteHeader(p.head.Status)
	}
	if o != "" {
		p.w.Header().Set(outcome.Header, string(o))
	}
	_, _ = p.w.Write(p.buffered)
	p.buffered = p.buffered[:0]
}
