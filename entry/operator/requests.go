package operator

import (
	"strings"
	"sync"
	"time"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/operate/lang"
	"github.com/siskinford/siskinford/operate/table"
)

const (
	// DefaultRequestLogSize is the number of recent requests that an entry keeps.
	DefaultRequestLogSize = 4096
	// maxAttempts bounds the attempts kept of one request.
	maxAttempts = 8
)

// attempt is one choice of an endpoint for a request.
type attempt struct {
	choice route.Choice
	err    error
	at     time.Time
}

// requestRecord is the state of one request and its first attempts.
type requestRecord struct {
	request      id.Request
	team         id.Team
	service      id.Service
	started      time.Time
	endpoint     id.Endpoint
	attempts     []attempt
	attemptCount int
	state        string
	detail       string
}

// RequestLog keeps the most recent requests of an entry and the candidates compared
// for each attempt. It is safe for concurrent use and does not block.
type RequestLog struct {
	now func() time.Time

	// mu is a leaf lock.
	mu   sync.Mutex
	byID map[id.Request]*requestRecord
	ring []id.Request // ring of the keys of byID; next is the slot to overwrite
	next int
}

// NewRequestLog returns a log of up to size requests.
func NewRequestLog(size int, now func() time.Time) *RequestLog {
	return &RequestLog{now: now, byID: make(map[id.Request]*requestRecord, size), ring: make([]id.Request, size)}
}

// getOrAdd returns the record of a request. A new record replaces the oldest one.
// The caller holds r.mu.
func (r *RequestLog) getOrAdd(request id.Request) *requestRecord {
	if known := r.byID[request]; known != nil {
		return known
	}
	delete(r.byID, r.ring[r.next])
	r.ring[r.next] = request
	r.next = (r.next + 1) % len(r.ring)
	added := &requestRecord{request: request, started: r.now()}
	r.byID[request] = added
	return added
}

// RecordChoice records the choice of an endpoint for one attempt, or the error if
// there is none.
func (r *RequestLog) RecordChoice(c *dispatch.Call, choice route.Choice, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.getOrAdd(c.Request)
	k.team, k.service = c.Team, c.Service
	k.attemptCount++
	if len(k.attempts) < maxAttempts {
		k.attempts = append(k.attempts, attempt{choice: choice, err: err, at: r.now()})
	}
}

// Recorder returns a Recorder that passes events on to next and updates the
// requests that they name.
func (r *RequestLog) Recorder(next timeline.Recorder) timeline.Recorder {
	return recorder{requests: r, next: next}
}

type recorder struct {
	requests *RequestLog
	next     timeline.Recorder
}

// Record implements timeline.Recorder.
func (r recorder) Record(e timeline.Event) {
	r.next.Record(e)
	if e.Request != "" {
		r.requests.recordEvent(e)
	}
}

func (r *RequestLog) recordEvent(e timeline.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.getOrAdd(e.Request)
	k.state, k.detail = strings.TrimPrefix(string(e.Kind), "request."), e.Detail
	if e.Endpoint != "" {
		k.endpoint = e.Endpoint
	}
}

// rows returns the rows of all requests, the newest first.
func (r *RequestLog) rows(host id.Host, now time.Time) []table.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]table.Row, 0, len(r.byID))
	for i := range r.ring {
		at := (r.next - 1 - i + 2*len(r.ring)) % len(r.ring)
		if k := r.byID[r.ring[at]]; k != nil {
			out = append(out, k.row(host, now))
		}
	}
	return out
}

func (k *requestRecord) row(host id.Host, now time.Time) table.Row {
	return table.Row{
		table.Text(k.request), table.Text(host), table.Text(k.team), table.Text(k.service), table.Text(k.endpoint), table.Number(k.attemptCount),
		table.Text(k.state), table.Text(k.detail), table.Text(k.started.UTC().Format(time.RFC3339Nano)), millis(now.Sub(k.started)),
	}
}

// explain returns the row of a request and the endpoints compared for each of its
// attempts, or nil if the log does not contain it.
func (r *RequestLog) explain(request id.Request, host id.Host, now time.Time) (summary, candidates *table.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.byID[request]
	if k == nil {
		return nil, nil
	}
	summary = lang.NewTable(lang.Requests)
	summary.Rows = []table.Row{k.row(host, now)}
	return summary, k.candidates()
}

func (k *requestRecord) candidates() *table.Table {
	t := &table.Table{Columns: []string{
		"try", "endpoint", "chosen", "zone", "expected_ms", "predicted_ms", "report_age_ms", "cached_blocks", "open_requests", "why",
	}}
	for i, x := range k.attempts {
		t.Rows = append(t.Rows, x.rows(i+1)...)
	}
	return t
}

func (x attempt) rows(number int) []table.Row {
	n := table.Number(number)
	if x.err != nil {
		return []table.Row{{n, {}, table.Bool(false), {}, {}, {}, {}, {}, {}, table.Text(x.err.Error())}}
	}
	if len(x.choice.Candidates) == 0 {
		return []table.Row{{
			n, table.Text(x.choice.Endpoint), table.Bool(true),
			{},
			{},
			{},
			{},
			{},
			{},
			table.Text("the action is bound to this endpoint by its ticket or key"),
		}}
	}
	var out []table.Row
	for _, c := range x.choice.Candidates {
		chosen := c.Endpoint == x.choice.Endpoint
		why := "another candidate was better"
		if chosen {
			why = "best of those compared"
		}
		out = append(out, table.Row{
			n, table.Text(c.Endpoint), table.Bool(chosen), table.Text(c.Zone), millis(c.Expected), millis(c.Predicted),
			millis(c.ReportAge), table.Number(c.CachedBlocks), table.Number(c.OpenRequests), table.Text(why),
		})
	}
	return out
}
