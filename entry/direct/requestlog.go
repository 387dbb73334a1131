package direct

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/balance/quarantine"
	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
)

// requestLog logs and counts the outcomes of requests. Each decision is one line with the
// request's ID, its inputs and their age, and the outcome.
type requestLog struct {
	log zerolog.Logger
	set *metrics.Set
}

// Values of the label end of siskinford_requests_total.
const (
	endAnswered  = "answered"
	endRefused   = "refused"
	endRejected  = "rejected"
	endFailed    = "failed"
	endBroken    = "broken"
	endAbandoned = "abandoned"
	// endQuarantined is the end of requests with a blocked part.
	endQuarantined = "quarantined"
)

func (l *requestLog) count(end string, service id.Service) {
	l.set.GetOrCreateCounter(fmt.Sprintf("siskinford_requests_total{end=%q,service=%q}", end, string(service))).Inc()
}

func (l *requestLog) observe(name string, service id.Service, seconds float64) {
	l.set.GetOrCreateHistogram(fmt.Sprintf("siskinford_%s_seconds{service=%q}", name, string(service))).Update(seconds)
}

// request adds the common fields of a request to a log line.
func (l *requestLog) request(e *zerolog.Event, event string, q *request) *zerolog.Event {
	e = e.Str("event", event).Str("request", string(q.info.ID)).Str("service", string(q.service.name)).
		Str("route", q.route.Name).Uint64("config", q.version).Dur("after", time.Since(q.began)).Int("route_priority", q.route.Priority)
	if q.team != nil {
		e = e.Str("team", string(q.team.Name))
		if q.team.Priority != nil {
			e = e.Int("team_priority", *q.team.Priority)
		}
	}
	return e
}

// rejected logs a request that was not assigned to a service.
func (l *requestLog) rejected(r *http.Request, info RequestInfo, status int, version uint64, text string) {
	l.count(endRejected, "")
	l.log.Info().Str("event", "request.rejected").Str("request", string(info.ID)).Int("status", status).
		Uint64("config", version).Str("site", r.Host).Str("path", r.URL.Path).Msg(text)
}

// queued logs that a request has to wait, and why.
func (l *requestLog) queued(q *request, s scheduler.Occupancy) {
	l.request(l.log.Info(), "request.queued", q).Int("running", s.Running).Int("places", s.Capacity).
		Int("waiting", s.Waiting).Bool("down", s.Down).Send()
}

// chosen logs the endpoint to which a request is sent.
func (l *requestLog) chosen(q *request, x *Slot, try int) {
	d := x.Decision
	l.observe("wait", q.service.name, d.Waited.Seconds())
	l.request(l.log.Info(), "request.chosen", q).Str("endpoint", string(x.Backend.Name)).Int("try", try).
		Dur("waited", d.Waited).Bool("late", d.Late).Int("running", d.Running).Int("waiting", d.Waiting).
		Dur("loads_age", x.LoadsAge).Int("prompt", q.info.PromptTokens).Dur("left", time.Until(q.deadline)).
		Strs("parts", q.info.SharedParts).Send()
}

// lost logs an attempt that the endpoint broke off, with how far it got and the parts of its prompt.
func (l *requestLog) lost(q *request, x *Slot, p *progress, cause error) {
	l.request(l.log.Info(), "attempt.lost", q).Err(cause).Str("endpoint", string(x.Backend.Name)).Strs("parts", q.info.SharedParts).
		Bool("answering", p.answering).Int("events", p.events).Dur("since_sent", time.Since(p.sentAt)).Send()
}

// foreign logs a response that belongs to another request.
func (l *requestLog) foreign(q *request, x *Slot, status int, of id.Request) {
	l.set.GetOrCreateCounter(fmt.Sprintf("siskinford_foreign_responses_total{service=%q}", string(q.service.name))).Inc()
	l.request(l.log.Warn(), "response.foreign", q).Str("endpoint", string(x.Backend.Name)).Int("status", status).
		Str("of", string(of)).Msg("the answer belongs to another request")
}

// oversized logs a response that is too large to be forwarded.
func (l *requestLog) oversized(q *request, x *Slot, r *http.Response) {
	l.set.GetOrCreateCounter(fmt.Sprintf("siskinford_oversized_responses_total{service=%q}", string(q.service.name))).Inc()
	l.request(l.log.Warn(), "response.oversized", q).Str("endpoint", string(x.Backend.Name)).Int("status", r.StatusCode).
		Int64("declared", r.ContentLength).Int64("limit", maxBufferedBytes).Msg("the answer is too large to be passed on whole")
}

// quarantined logs that a request is refused because of a part of its prompt, with the evidence.
func (l *requestLog) quarantined(q *request, v quarantine.Verdict, status int, now time.Duration) {
	l.count(endQuarantined, q.service.name)
	e := l.request(l.log.Info(), "request.quarantined", q).Int("status", status).Int("sent", q.sent)
	record(e, v.Record, now).Send()
}

// quarantine logs and counts a change of what is known of a part.
func (l *requestLog) quarantine(service id.Service, x quarantine.Event, now time.Duration) {
	l.set.GetOrCreateCounter(fmt.Sprintf("siskinford_quarantine_changes_total{kind=%q,state=%q,service=%q}",
		string(x.Kind), x.Record.State.String(), string(service))).Inc()
	e := l.log.Info().Str("event", "part."+string(x.Kind)).Str("service", string(service)).Bool("learned", x.Learned).Int("answers", x.Answers)
	if x.Request != "" {
		e = e.Str("evidence", string(x.Request))
	}
	record(e, x.Record, now).Send()
}

// record adds what is known of a part to a log line.
func record(e *zerolog.Event, r quarantine.Record, now time.Duration) *zerolog.Event {
	ends := make([]uint32, len(r.Ends))
	for i, end := range r.Ends {
		ends[i] = uint32(end)
	}
	companions := make([]string, len(r.Companions))
	for i, p := range r.Companions {
		companions[i] = string(p)
	}
	e = e.Str("part", string(r.Part)).Stringer("state", r.State).Uint32("version", r.Version).Uints32("ends", ends).
		Strs("companions", companions).Int("trials", r.Trials).Bool("by_operator", r.ByOperator).Dur("age", max(now-r.BlamedAt, 0))
	if r.State == quarantine.Blocked {
		e = e.Dur("pause", max(r.Until-now, 0))
	}
	if r.Claimant != "" {
		e = e.Str("claimant", string(r.Claimant))
	}
	return e
}

func (l *requestLog) refused(q *request, d scheduler.Decision, status int) {
	l.count(endRefused, q.service.name)
	l.request(l.log.Info(), "request.refused", q).Int("status", status).Dur("waited", d.Waited).
		Dur("retry_after", d.RetryAfter).Int("running", d.Running).Int("places", d.Capacity).Int("waiting", d.Waiting).
		Dur("down_for", d.DownFor).Int("sent", q.sent).Msg(string(d.Reason))
}

func (l *requestLog) repeated(q *request, endpoint id.Endpoint, cause error, why string) {
	l.set.GetOrCreateCounter(fmt.Sprintf("siskinford_repeats_total{service=%q}", string(q.service.name))).Inc()
	l.request(l.log.Info(), "request.repeated", q).Err(cause).Str("endpoint", string(endpoint)).Int("sent", q.sentCount()).Msg(why)
}

// Values of the label result of siskinford_hedges_total.
const (
	hedgeWon       = "won"
	hedgeFailed    = "failed"
	hedgeCancelled = "cancelled"
)

// hedged logs and counts how a second attempt beside a silent one ended.
func (l *requestLog) hedged(q *request, silent, endpoint id.Endpoint, result string, cause error) {
	l.set.GetOrCreateCounter(fmt.Sprintf("siskinford_hedges_total{result=%q,service=%q}", result, string(q.service.name))).Inc()
	l.request(l.log.Info(), "request.hedged", q).Err(cause).Str("endpoint", string(endpoint)).Str("silent", string(silent)).
		Str("result", result).Send()
}

func (l *requestLog) failed(q *request, status int, cause error) {
	l.count(endFailed, q.service.name)
	l.request(l.log.Warn(), "request.failed", q).Err(cause).Int("status", status).Int("sent", q.sent).Send()
}

func (l *requestLog) abandoned(q *request) {
	l.count(endAbandoned, q.service.name)
	l.request(l.log.Info(), "request.abandoned", q).Int("sent", q.sent).Msg("client disconnected")
}

// answered logs a buffered response that was forwarded.
func (l *requestLog) answered(q *request, endpoint id.Endpoint, status int) {
	l.count(endAnswered, q.service.name)
	l.observe("answer", q.service.name, time.Since(q.began).Seconds())
	l.request(l.log.Info(), "request.answered", q).Str("endpoint", string(endpoint)).Int("status", status).Int("sent", q.sent).Send()
}

// streamed logs a stream that was forwarded to its end.
func (l *requestLog) streamed(q *request, endpoint id.Endpoint, s *streamWriter) {
	l.count(endAnswered, q.service.name)
	l.observe("answer", q.service.name, time.Since(q.began).Seconds())
	l.request(l.log.Info(), "request.answered", q).Str("endpoint", string(endpoint)).Int("status", http.StatusOK).
		Int("sent", q.sent).Dur("first", s.firstEventAfter).Int("events", s.events).Dur("longest_gap", s.longestGap).Send()
}

func (l *requestLog) broken(q *request, s *streamWriter, d scheduler.Decision, cause error) {
	l.count(endBroken, q.service.name)
	l.request(l.log.Warn(), "stream.broken", q).Err(cause).Str("last_event", s.lastEventID).Int("sent", q.sent).
		Int("events", s.events).Dur("silence", time.Since(s.lastProgress)).Dur("down_for", d.DownFor).Msg(string(d.Reason))
}

// firstEvent records the time to the first event of a stream.
func (l *requestLog) firstEvent(q *request, after time.Duration) {
	l.observe("first_event", q.service.name, after.Seconds())
}
