package direct

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/intake"
	"github.com/siskinford/siskinford/core/id"
)

// journal logs and counts what becomes of requests. Each decision is one line
// with the request's ID, what decided it, how old that is, and the outcome.
type journal struct {
	log zerolog.Logger
	set *metrics.Set
}

// The ends of requests, as the label of siskinford_requests_total.
const (
	endAnswered  = "answered"
	endRefused   = "refused"
	endRejected  = "rejected"
	endFailed    = "failed"
	endBroken    = "broken"
	endAbandoned = "abandoned"
)

func (j *journal) count(end string, service id.Service) {
	j.set.GetOrCreateCounter(fmt.Sprintf("siskinford_requests_total{end=%q,service=%q}", end, string(service))).Inc()
}

func (j *journal) observe(name string, service id.Service, seconds float64) {
	j.set.GetOrCreateHistogram(fmt.Sprintf("siskinford_%s_seconds{service=%q}", name, string(service))).Update(seconds)
}

// request begins a line about a request.
func (j *journal) request(e *zerolog.Event, event string, q *request) *zerolog.Event {
	e = e.Str("event", event).Str("request", string(q.call.ID)).Str("service", string(q.service.name)).
		Str("route", q.route.Name).Uint64("config", q.version).Dur("after", time.Since(q.began))
	if q.team != nil {
		e = e.Str("team", string(q.team.Name))
	}
	return e
}

// rejected tells of a request that was not handed to a service.
func (j *journal) rejected(r *http.Request, call RequestInfo, status int, version uint64, text string) {
	j.count(endRejected, "")
	j.log.Info().Str("event", "request.rejected").Str("request", string(call.ID)).Int("status", status).
		Uint64("config", version).Str("site", r.Host).Str("path", r.URL.Path).Msg(text)
}

// queued tells that a request has to wait, and why.
func (j *journal) queued(q *request, s intake.Occupancy) {
	j.request(j.log.Info(), "request.queued", q).Int("running", s.Running).Int("places", s.Capacity).
		Int("waiting", s.Waiting).Bool("down", s.Down).Send()
}

// chosen tells where a request is sent.
func (j *journal) chosen(q *request, x *Slot) {
	d := x.Decision
	j.observe("wait", q.service.name, d.Waited.Seconds())
	j.request(j.log.Info(), "request.chosen", q).Str("endpoint", string(x.Backend.Name)).Int("try", q.sent+1).
		Dur("waited", d.Waited).Bool("late", d.Late).Int("running", d.Running).Int("waiting", d.Waiting).
		Dur("loads_age", x.LoadsAge).Int("prompt", q.call.PromptTokens).Dur("left", time.Until(q.deadline)).Send()
}

func (j *journal) refused(q *request, d intake.Decision, status int) {
	j.count(endRefused, q.service.name)
	j.request(j.log.Info(), "request.refused", q).Int("status", status).Dur("waited", d.Waited).
		Dur("retry_after", d.RetryAfter).Int("running", d.Running).Int("places", d.Capacity).Int("waiting", d.Waiting).
		Dur("down_for", d.DownFor).Int("sent", q.sent).Msg(string(d.Reason))
}

func (j *journal) repeated(q *request, endpoint id.Endpoint, cause error, why string) {
	j.set.GetOrCreateCounter(fmt.Sprintf("siskinford_repeats_total{service=%q}", string(q.service.name))).Inc()
	j.request(j.log.Info(), "request.repeated", q).Err(cause).Str("endpoint", string(endpoint)).Int("sent", q.sent).Msg(why)
}

func (j *journal) failed(q *request, status int, cause error) {
	j.count(endFailed, q.service.name)
	j.request(j.log.Warn(), "request.failed", q).Err(cause).Int("status", status).Int("sent", q.sent).Send()
}

func (j *journal) abandoned(q *request) {
	j.count(endAbandoned, q.service.name)
	j.request(j.log.Info(), "request.abandoned", q).Int("sent", q.sent).Msg("the client has gone")
}

// answered tells of an answer that was passed on whole.
func (j *journal) answered(q *request, endpoint id.Endpoint, status int) {
	j.count(endAnswered, q.service.name)
	j.observe("answer", q.service.name, time.Since(q.began).Seconds())
	j.request(j.log.Info(), "request.answered", q).Str("endpoint", string(endpoint)).Int("status", status).Int("sent", q.sent).Send()
}

// streamed tells of a stream that was passed on to its end.
func (j *journal) streamed(q *request, endpoint id.Endpoint, s *streamWriter) {
	j.count(endAnswered, q.service.name)
	j.observe("answer", q.service.name, time.Since(q.began).Seconds())
	j.request(j.log.Info(), "request.answered", q).Str("endpoint", string(endpoint)).Int("status", http.StatusOK).
		Int("sent", q.sent).Dur("first", s.first).Int("events", s.events).Dur("longest_gap", s.longestGap).Send()
}

func (j *journal) broken(q *request, s *streamWriter, d intake.Decision, cause error) {
	j.count(endBroken, q.service.name)
	j.request(j.log.Warn(), "stream.broken", q).Err(cause).Str("last_event", s.last).Int("sent", q.sent).
		Int("events", s.events).Dur("silence", time.Since(s.progress)).Dur("down_for", d.DownFor).Msg(string(d.Reason))
}

// firstEvent counts the time to the first event of a stream.
func (j *journal) firstEvent(q *request, after time.Duration) {
	j.observe("first_event", q.service.name, after.Seconds())
}
