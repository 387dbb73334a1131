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
	// HeaderIdempotencyKey carries an idempotency key made by the caller, or a ticket.
	HeaderIdempotencyKey = "Idempotency-Key"
	// plainWork is the predicted work of a plain request in tokens.
	plainWork = 1
	// ticketPrefix distinguishes tickets from keys made by callers.
	ticketPrefix = "skt1."
)

// hopHeaders are not forwarded.
var hopHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Host": true, "Content-Length": true,
}

func (a *API) plain(w http.ResponseWriter, r *http.Request, c caller) {
	service, p := a.plainService(r, c)
	if p != nil {
		a.fail(w, r, p)
		return
	}
	body, p := a.body(w, r)
	if p != nil {
		a.fail(w, r, p)
		return
	}
	call := plainCall(r, c, service, body)
	release, p := a.deps.Admitter.Admit(c.team, call)
	if p != nil {
		a.fail(w, r, keyed(r, p))
		return
	}
	if p := a.bind(r, call); p != nil {
		release(0)
		a.fail(w, r, keyed(r, p))
		return
	}
	broken := a.runPlain(w, r, call)
	release(plainWork)
	if broken {
		panic(http.ErrAbortHandler)
	}
}

func (a *API) plainService(r *http.Request, c caller) (config.Service, *problem.Problem) {
	name := id.Service(chi.URLParam(r, "service"))
	service, ok := c.catalog.Service(name)
	if !ok || service.Type != config.PlainService {
		return service, problem.Newf(problem.UnknownService, "plain service %q does not exist", name)
	}
	if !permitted(c.team, name) {
		return service, problem.Newf(problem.Forbidden, "team %q may not use service %q", c.team.Name, name)
	}
	return service, nil
}

func plainCall(r *http.Request, c caller, s config.Service, body []byte) *dispatch.Call {
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
		Work:        plainWork,
		PayloadHash: payloadHash(r.Method, path, body),
		Plain:       &msg.Plain{Method: r.Method, Path: path, Header: forwarded(r.Header), Body: body},
	}
}

func payloadHash(method, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + path + "\n")
	_, _ = d.Write(body)
	return d.Sum64()
}

func forwarded(h http.Header) []msg.Header {
	named := map[string]bool{}
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	var out []msg.Header
	for name, values := range h {
		if hopHeaders[name] || named[name] {
			continue
		}
		for _, v := range values {
			out = append(out, msg.Header{Name: name, Value: v})
		}
	}
	return out
}

// keyed completes the problem of a request with an idempotency key: if nothing
// is known of the action, it says so.
func keyed(r *http.Request, p *problem.Problem) *problem.Problem {
	if r.Header.Get(HeaderIdempotencyKey) != "" && p.ActionOutcome == "" {
		p.ActionOutcome = outcome.Unknown
	}
	return p
}

// bind fixes where a request with an idempotency key may run.
func (a *API) bind(r *http.Request, call *dispatch.Call) *problem.Problem {
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

// runPlain reports whether the answer broke after its head was sent.
func (a *API) runPlain(w http.ResponseWriter, r *http.Request, call *dispatch.Call) (broken bool) {
	sink := &plainWriter{w: w}
	result := a.deps.Dispatcher.Run(r.Context(), call, sink)
	switch {
	case result.Problem == nil && sink.head != nil:
		sink.sendHead(result.Outcome)
		a.deps.Metrics.answered(result.Outcome)
	case sink.sent:
		a.deps.Metrics.failed(result.Problem)
		return true
	case result.Problem == nil:
		a.fail(w, r, problem.UnknownOutcomef(problem.AnswerIncomplete, "endpoint %q sent no status", result.Endpoint))
	default:
		a.fail(w, r, keyed(r, result.Problem))
	}
	return false
}

// holdBytes is the size up to which a plain answer is held back until its end, so
// that its status and outcome are certain when they are sent.
const holdBytes = 64 << 10

// plainWriter sends the answer of a plain service. It implements dispatch.Sink.
type plainWriter struct {
	w    http.ResponseWriter
	head *msg.Head
	held []byte
	sent bool
}

// WriteFrames implements dispatch.Sink.
func (p *plainWriter) WriteFrames(batch []*msg.Frame) error {
	for _, f := range batch {
		if f.Head != nil {
			p.head = f.Head
		}
		p.held = append(p.held, f.Data...)
	}
	if len(p.held) <= holdBytes || p.head == nil {
		return nil
	}
	p.sendHead("")
	return nil
}

// sendHead sends the status once and then what is held back.
func (p *plainWriter) sendHead(o outcome.Outcome) {
	if !p.sent {
		p.sent = true
		h := p.w.Header()
		for _, field := range p.head.Header {
			if !hopHeaders[http.CanonicalHeaderKey(field.Name)] {
				h.Add(field.Name, field.Value)
			}
		}
		if o != "" {
			h.Set(outcome.Header, string(o))
			h.Set("Content-Length", strconv.Itoa(len(p.held)))
		} else {
			h.Set("Trailer", outcome.Header)
		}
		p.w.WriteHeader(p.head.Status)
	}
	if o != "" {
		p.w.Header().Set(outcome.Header, string(o))
	}
	_, _ = p.w.Write(p.held)
	p.held = p.held[:0]
}
