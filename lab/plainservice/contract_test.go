package plainservice_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/agent/plain"
	"github.com/siskinford/siskinford/lab/plainservice"
	"github.com/siskinford/siskinford/wire/msg"
)

type recorder struct {
	status int
	body   bytes.Buffer
}

func (r *recorder) Head(head msg.ResponseHead) error { r.status = head.Status; return nil }
func (r *recorder) Write(data []byte) (int, error)   { return r.body.Write(data) }

// start returns a service and a function that sends a request and decodes the response.
func start(t *testing.T) (*plainservice.Service, func(p msg.HTTPRequest) (int, plainservice.Record, error)) {
	t.Helper()
	service := plainservice.New(plainservice.Config{})
	server := httptest.NewServer(service.Handler())
	client, err := plain.New(plain.Config{URL: server.URL})
	assert.NilError(t, err)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return service, func(p msg.HTTPRequest) (int, plainservice.Record, error) {
		var out recorder
		var record plainservice.Record
		if err := client.Do(context.Background(), &p, &out); err != nil {
			return out.status, record, err
		}
		return out.status, record, json.Unmarshal(out.body.Bytes(), &record)
	}
}

func request(method, path, key, body string) msg.HTTPRequest {
	return msg.HTTPRequest{Method: method, Path: path, Body: []byte(body), Header: []msg.Header{
		{Name: plainservice.HeaderKey, Value: key}, {Name: plainservice.HeaderMark, Value: "mark-" + key},
	}}
}

func TestActionsRunAndEchoTheirMark(t *testing.T) {
	service, send := start(t)
	steps := []struct {
		request msg.HTTPRequest
		status  int
	}{
		{request("POST", "/reservations", "k1", `{"id":"chest-1","item":"diablada"}`), 201},
		{request("POST", "/tags", "k2", `{"id":"bay-7","holder":"family-1"}`), 201},
		{request("GET", "/tags/bay-7", "k3", ""), 200},
		{request("DELETE", "/tags/bay-7", "k4", ""), 200},
		{request("DELETE", "/tags/bay-8", "k5", ""), 404},
		{request("GET", "/stock/chest-1", "k6", ""), 200},
		{request("POST", "/tags", "k2", `{"id":"bay-7","holder":"family-2"}`), 201},
	}
	for i, step := range steps {
		status, record, err := send(step.request)
		assert.NilError(t, err)
		assert.Equal(t, status, step.status, "step %d", i)
		assert.Equal(t, record.Mark, step.request.Header[1].Value)
	}
	assert.DeepEqual(t, service.Executions(), map[string]int{"k1": 1, "k2": 2, "k3": 1, "k4": 1, "k5": 1, "k6": 1})
	assert.Equal(t, len(service.Tags("bay-7")), 2, "the service must not deduplicate")

	status, _, err := send(request("POST", "/tags", "k7", `{}`))
	assert.NilError(t, err)
	assert.Equal(t, status, 400)
	assert.Equal(t, service.Executions()["k7"], 0)
}

func TestFaultsAndExecutionCounts(t *testing.T) {
	tests := []struct {
		name   string
		faults plainservice.Faults
		status int
		fails  bool
		runs   int
	}{
		{name: "none", status: 201, runs: 2},
		{name: "refused", faults: plainservice.Faults{FailNext: 1}, status: 503, runs: 1},
		{name: "cut before the answer", faults: plainservice.Faults{CutNext: 1}, fails: true, runs: 2},
		{name: "cut in the body", faults: plainservice.Faults{CutBodyNext: 1}, status: 201, fails: true, runs: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service, send := start(t)
			// The first request leaves an idle connection. Go's http.Transport would
			// repeat the second request if that connection broke.
			_, _, err := send(request("POST", "/tags", "k1", `{"id":"bay-7"}`))
			assert.NilError(t, err)
			service.SetFaults(test.faults)
			status, _, err := send(request("POST", "/tags", "k1", `{"id":"bay-7"}`))
			assert.Equal(t, err != nil, test.fails, "%v", err)
			var notStarted *plain.NotStartedError
			assert.Assert(t, !errors.As(err, &notStarted))
			assert.Equal(t, status, test.status)
			assert.Equal(t, service.Executions()["k1"], test.runs)
		})
	}
}
