package direct

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/quarantine"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/upstream"
)

const (
	// quarantinePollInterval is the time between checks of a request that waits for a verdict.
	quarantinePollInterval = 25 * time.Millisecond
	// quarantineStartTime is the time after the start for which requests wait for the first
	// message of another entry, which may know of blocked parts.
	quarantineStartTime = 500 * time.Millisecond
	// goneProbeTimeout bounds the connection attempt that tells whether an endpoint ended.
	goneProbeTimeout = 200 * time.Millisecond
	// verdictMargin is the time that a stream needs to start after its verdict.
	verdictMargin = 500 * time.Millisecond
	// verdictSlack is added to the time that entries have to vouch for a part, for the collection
	// of losses and the exchange.
	verdictSlack = 100 * time.Millisecond
	// undecidedRetryAfter is the Retry-After of a request whose verdict took too long.
	undecidedRetryAfter = time.Second
)

// errQuarantined ends the attempt of a request that has a blocked part.
var errQuarantined = errors.New("a part of the prompt is blocked")

// partQuarantine keeps requests with harmful parts of prompts from the endpoints of one service.
// It is safe for concurrent use.
type partQuarantine struct {
	service  id.Service
	log      requestLog
	start    time.Time
	onChange func()
	// informed is true once another entry sent its records.
	informed atomic.Bool

	mu    sync.Mutex // leaf lock
	table *quarantine.Table
	// changed is closed at the next change of the table.
	changed chan struct{}
	// unanswered holds the requests without an answer, and how to end them.
	unanswered map[*request]context.CancelCauseFunc
	// settled is set until the next time at which requests that wait are looked at again.
	settled *time.Timer
}

func newPartQuarantine(service id.Service, opt Options) *partQuarantine {
	p := &partQuarantine{
		service: service, log: requestLog{log: opt.Log, set: opt.Metrics}, start: time.Now(), onChange: opt.OnQuarantineChange,
		changed: make(chan struct{}), unanswered: make(map[*request]context.CancelCauseFunc),
	}
	p.table = quarantine.New(quarantine.Config{}, opt.Host, func(e quarantine.Event) { p.log.quarantine(service, e, p.now()) })
	return p
}

func (p *partQuarantine) now() time.Duration { return time.Since(p.start) }

// publish tells waiting requests and other entries of a change. The caller holds mu.
func (p *partQuarantine) publish() {
	close(p.changed)
	p.changed = make(chan struct{})
	p.endUnanswered()
	if p.onChange != nil {
		p.onChange()
	}
}

// endUnanswered ends the requests that have a blocked part: those that are running at an
// endpoint at once, those that wait for one if no other entry vouches for the part. The caller
// holds mu.
func (p *partQuarantine) endUnanswered() {
	undecided := false
	for q, cancel := range p.unanswered {
		if q.trial || !p.table.MustEnd(q.parts, q.teamName()) {
			continue
		}
		if q.running || p.table.Check(q.parts, q.teamName(), p.now()).Action == quarantine.Refuse {
			delete(p.unanswered, q)
			cancel(errQuarantined)
			continue
		}
		undecided = true
	}
	if undecided && p.settled == nil {
		p.settled = time.AfterFunc(p.table.SettleTime(), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.settled = nil
			p.endUnanswered()
		})
	}
}

// watch ends the request by its context if one of its parts is blocked before it is answered.
func (p *partQuarantine) watch(q *request, cancel context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered[q] = cancel
}

func (p *partQuarantine) unwatch(q *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unanswered, q)
}

// admit waits until it is known whether the request may be sent. It may make the request the
// trial of a part. ok is false if the request is refused or ctx ended.
func (p *partQuarantine) admit(ctx context.Context, q *request) (v quarantine.Verdict, ok bool) {
	if len(q.parts) == 0 {
		return v, true
	}
	if p.confirmTrial(q) {
		return v, true
	}
	limit := p.admissionLimit(q)
	for ctx.Err() == nil {
		p.mu.Lock()
		v = p.table.Check(q.parts, q.teamName(), p.now())
		changed := p.changed
		if v.Action == quarantine.Claim && !q.trial {
			q.trial = true
			p.table.BeginTrial(q.parts, q.info.ID, p.now())
			p.publish()
		}
		p.mu.Unlock()
		switch {
		case v.Action == quarantine.Refuse:
			return v, false
		case v.Action == quarantine.Pass && p.isInformed():
			return v, true
		case v.Action == quarantine.Claim:
			pauseFor(ctx, p.table.ClaimTime(), nil)
			if p.confirmTrial(q) {
				return v, true
			}
			continue
		}
		if time.Now().After(limit) {
			return v, false
		}
		pauseFor(ctx, quarantinePollInterval, changed)
	}
	return v, false
}

// admissionLimit returns until when the request may wait for a verdict.
func (p *partQuarantine) admissionLimit(q *request) time.Time {
	limit := q.deadline
	if s := q.began.Add(maxSilence(q.route)); s.Before(limit) {
		limit = s
	}
	limit = limit.Add(-verdictMargin)
	// A stream that has begun is resumed long after the request's arrival.
	if s := time.Now().Add(p.table.SettleTime() + verdictSlack); s.After(limit) {
		limit = s
	}
	return limit
}

// isInformed reports whether this entry may know what the others know.
func (p *partQuarantine) isInformed() bool {
	return p.informed.Load() || p.now() > quarantineStartTime
}

// confirmTrial reports whether the request is a trial to which no other entry objected.
func (p *partQuarantine) confirmTrial(q *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !q.trial {
		return false
	}
	if p.table.HoldsClaim(q.parts, p.now()) {
		return true
	}
	p.endTrialLocked(q)
	return false
}

// refusal returns the verdict for which a request was ended by errQuarantined.
func (p *partQuarantine) refusal(q *request) quarantine.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.table.Check(q.parts, q.teamName(), p.now())
	v.Action = quarantine.Refuse
	return v
}

// begin reports whether the request may be sent now. What is known of its parts may have
// changed while it waited for an endpoint.
func (p *partQuarantine) begin(q *request) bool {
	if len(q.parts) == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !q.trial {
		q.running = p.table.Check(q.parts, q.teamName(), p.now()).Action == quarantine.Pass
		return q.running
	}
	if !p.table.HoldsClaim(q.parts, p.now()) {
		p.endTrialLocked(q)
		return false
	}
	q.running = true
	p.table.StartTrial(q.parts, q.info.ID, p.now())
	p.publish()
	return true
}

// passes reports whether no part of the request is in question.
func (p *partQuarantine) passes(q *request) bool {
	if len(q.parts) == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Check(q.parts, q.teamName(), p.now()).Action == quarantine.Pass
}

// answered records that the request's answer goes on after its beginning.
func (p *partQuarantine) answered(q *request) {
	if len(q.parts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unanswered, q)
	before := p.table.InQuestion(q.parts)
	p.table.RecordAnswer(q.parts, q.info.ID, p.now())
	q.trial = false
	if before {
		p.publish()
	}
}

// end records that the request's attempt has ended. It releases the claim of a trial that was not
// answered.
func (p *partQuarantine) end(q *request) {
	if len(q.parts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q.running = false
	p.endTrialLocked(q)
}

func (p *partQuarantine) endTrialLocked(q *request) {
	if !q.trial {
		return
	}
	q.trial = false
	p.table.EndTrial(q.parts, q.info.ID, p.now())
	p.publish()
}

// reportLoss records that the request was not answered when its connection broke, if its
// endpoint has ended.
func (p *partQuarantine) reportLoss(ctx context.Context, q *request, slot *Slot, answering bool) {
	if len(q.parts) == 0 || !endpointGone(ctx, slot.Backend) {
		return
	}
	end := quarantine.EndID(nameHash(id.Endpoint(fmt.Sprint(slot.Backend.Name, slot.registration))))
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.table.Collecting() {
		time.AfterFunc(quarantineCollectTime, p.advance)
	}
	p.table.ReportLoss(end, quarantine.Loss{Request: q.info.ID, Team: q.teamName(), Parts: q.parts, Answering: answering}, p.now())
}

// quarantineCollectTime is the time after a loss at which its cause is evaluated, a little more
// than the table's time for collecting losses.
const quarantineCollectTime = 35 * time.Millisecond

func (p *partQuarantine) advance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Advance(p.now())
	switch {
	case p.table.Collecting():
		time.AfterFunc(quarantineCollectTime, p.advance)
	case p.table.Unexplained():
		time.AfterFunc(p.table.SettleTime(), p.advance)
	}
	p.publish()
}

// endpointGone reports whether an endpoint's process has ended: nothing listens at its address.
func endpointGone(ctx context.Context, b *Backend) bool {
	ctx, cancel := context.WithTimeout(ctx, goneProbeTimeout)
	defer cancel()
	err := b.Pool.Probe(ctx)
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

func pauseFor(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// QuarantineRecords are the records of each service as sent to other entries.
type QuarantineRecords map[id.Service][]quarantine.Message

// EncodeQuarantine returns the records to send to other entries.
func (h *Handler) EncodeQuarantine() QuarantineRecords {
	var out QuarantineRecords
	for name, s := range h.Services() {
		p := s.quarantine
		p.mu.Lock()
		list := p.table.Encode(p.now())
		p.mu.Unlock()
		if len(list) > 0 {
			if out == nil {
				out = make(QuarantineRecords)
			}
			out[name] = list
		}
	}
	return out
}

// ApplyQuarantine applies the records of another entry.
func (h *Handler) ApplyQuarantine(records QuarantineRecords) {
	for name, s := range h.Services() {
		p := s.quarantine
		p.informed.Store(true)
		if len(records[name]) == 0 {
			continue
		}
		p.mu.Lock()
		if p.table.Merge(records[name], p.now()) {
			p.publish()
		}
		p.mu.Unlock()
	}
}

// endQuarantined answers a request that is refused because of a part of its prompt.
func (h *Handler) endQuarantined(w http.ResponseWriter, q *request, v quarantine.Verdict) {
	status := http.StatusServiceUnavailable
	text := fmt.Sprintf("part %q of the prompt is blocked: it ended endpoints; not run", v.Record.Part)
	switch {
	case q.mayHaveRun:
		status, text = http.StatusBadGateway, fmt.Sprintf("part %q of the prompt is blocked: it ended endpoints; an earlier try may have run", v.Record.Part)
	case v.Action != quarantine.Refuse:
		text = "it is not known yet which part of a prompt ended an endpoint; not run"
		h.opt.Codec.WriteRefusal(w.Header(), Refusal{RetryAfter: undecidedRetryAfter})
	}
	h.requestLog.quarantined(q, v, status, q.service.quarantine.now())
	http.Error(w, text, status)
}

// isLost reports whether a connection broke at the endpoint's side after the request was sent.
func isLost(ctx context.Context, err error) bool {
	var notSent *upstream.NotSentError
	var gone *clientGoneError
	return err != nil && ctx.Err() == nil && !errors.As(err, &notSent) && !errors.As(err, &gone)
}
