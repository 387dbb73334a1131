package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
	"github.com/siskinford/siskinford/operate/answer"
	"github.com/siskinford/siskinford/operate/lang"
	"github.com/siskinford/siskinford/operate/table"
)

// lostReplyStore is a store whose writes take effect but report an unknown outcome.
type lostReplyStore struct{ objectapi.Store }

func (s lostReplyStore) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	_, err := s.Store.Put(ctx, o)
	return objectapi.Object{}, &objectapi.OutcomeUnknownError{Kind: o.Kind, Name: o.Name, Cause: err}
}

func newService(t *testing.T) (*Service, objectapi.Store) {
	t.Helper()
	store := memstore.New(memstore.Config{})
	s := New(Deps{Host: "entry-0", Store: store, Recorder: timeline.Discard, Snapshot: config.NewSnapshot})
	reply := s.Answer(t.Context(), answer.Request{Script: "create service s type plain\ncreate service r type plain"}, "ana")
	assert.Equal(t, reply.Plan.State, answer.Accepted, "%+v", reply)
	return s, store
}

func TestChangesApplyToTheSeenVersion(t *testing.T) {
	s, _ := newService(t)
	reply := s.Answer(t.Context(), answer.Request{Script: "change service s deadline_ms 5", SeenVersion: 1}, "ana")
	assert.Equal(t, reply.Plan.Version, uint64(2))
	reply = s.Answer(t.Context(), answer.Request{Script: "delete service s", SeenVersion: 1}, "luis")
	assert.Equal(t, reply.Plan.State, answer.LostRace)
	assert.Equal(t, reply.Plan.Race.Writer, "ana")
	assert.Assert(t, reply.Plan.Race.ChangesKnown)
	assert.Equal(t, fmt.Sprint(reply.Plan.Race.Changes), `[change service "s" deadline_ms: 0 -> 5]`)
	reply = s.Answer(t.Context(), answer.Request{Script: "change service s deadline_ms 5"}, "luis")
	assert.Equal(t, reply.Plan.State, answer.Unchanged)
}

// TestUnknownOutcomeIsNotReportedAsAccepted checks a change whose write was not confirmed.
func TestUnknownOutcomeIsNotReportedAsAccepted(t *testing.T) {
	s, store := newService(t)
	s.deps.Store = lostReplyStore{store}
	reply := s.Answer(t.Context(), answer.Request{Script: "delete service r"}, "ana")
	assert.Equal(t, reply.Plan.State, answer.OutcomeUnknown)
	assert.Equal(t, status(reply), http.StatusBadGateway)
}

func TestQueriesAndCommandsDoNotMix(t *testing.T) {
	s, _ := newService(t)
	reply := s.Answer(t.Context(), answer.Request{Script: "services\ndelete service r"}, "ana")
	assert.Equal(t, reply.Findings[0].Place, "line 2, column 1")
	assert.Assert(t, len(s.Answer(t.Context(), answer.Request{Script: "# no"}, "ana").Findings) == 1)
}

// TestFreshestReportWins checks that rows with an older or no report are dropped.
func TestFreshestReportWins(t *testing.T) {
	tab := lang.NewTable(lang.Endpoints)
	age := tab.ColumnIndex("report_age_ms")
	for _, v := range []table.Value{{}, table.Number(40), table.Number(3), table.Number(7)} {
		row := make(table.Row, len(tab.Columns))
		row[0], row[age] = table.Text("a"), v
		tab.Rows = append(tab.Rows, row)
	}
	mergeRows(lang.Endpoints, tab)
	assert.Equal(t, len(tab.Rows), 1)
	assert.Equal(t, tab.Rows[0][age], table.Number(3))
}

// TestRepliesFitIntoMessages guards against replies that are too large for a message.
func TestRepliesFitIntoMessages(t *testing.T) {
	big := &peerReply{Rows: &table.Table{Columns: []string{"x"}}}
	for range 400 {
		big.Rows.Rows = append(big.Rows.Rows, table.Row{table.Text(strings.Repeat("x", 10_000))})
	}
	data, err := encodeBounded(big)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxReplyBytes && big.Truncated)
}

func TestRequestLogIsBounded(t *testing.T) {
	now := func() time.Time { return time.Unix(1, 0) }
	r := NewRequestLog(3, now)
	for i := range 10 {
		r.RecordChoice(&dispatch.Call{Request: id.Request(fmt.Sprint(i))}, route.Choice{Endpoint: "a"}, nil)
	}
	rows := r.rows("entry-0", now())
	assert.Equal(t, len(rows), 3)
	assert.Equal(t, rows[0][0].Text, "9")
	assert.Equal(t, len(r.byID), 3)
}

func TestAPILimits(t *testing.T) {
	s, _ := newService(t)
	c := APIConfig{KeyHashes: "ana=" + config.HashKey("key"), Rate: 2}
	router := chi.NewRouter()
	NewAPI(c, s).Routes(router)
	ask := func(key, body string) (int, answer.Reply) {
		request := httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+key)
		w := httptest.NewRecorder()
		router.ServeHTTP(w, request)
		var reply answer.Reply
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &reply), w.Body.String())
		return w.Code, reply
	}
	for range 5 { // Unauthenticated requests do not count against the rate.
		code, _ := ask("other", `{"script":"delete service s"}`)
		assert.Equal(t, code, http.StatusUnauthorized)
	}
	code, reply := ask("key", `{"script":"delete service s"}`)
	assert.Equal(t, code, http.StatusOK)
	assert.Equal(t, reply.Plan.State, answer.Accepted)
	code, _ = ask("key", `{"script":"`+strings.Repeat("x", maxBodyBytes)+`"}`)
	assert.Equal(t, code, http.StatusBadRequest)
	code, _ = ask("key", `{"script":"teams"}`)
	assert.Equal(t, code, http.StatusTooManyRequests)
}

func TestKeyHashesAreChecked(t *testing.T) {
	hash := config.HashKey("x")
	for text, want := range map[string]int{
		"": 0, "ana=" + hash: 0, "ana=" + hash + ", luis=" + config.HashKey("y"): 0,
		hash: 1, "ana=" + strings.ToUpper(hash): 1, "ana=" + hash + ",luis=" + hash: 1, "a=1,b=2": 2,
	} {
		var l finding.List
		APIConfig{KeyHashes: text, Rate: 1}.parseCredentials(&l)
		assert.Equal(t, len(l), want, text)
	}
}
