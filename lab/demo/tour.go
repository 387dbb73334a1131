package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/lab/fleet"
)

// tourRequest is one request of the tour.
type tourRequest struct {
	title          string
	method         string
	path           string
	body           string
	idempotencyKey string
	// wantStatus is the expected HTTP status.
	wantStatus int
}

const chatBody = `{"model":"asistente-1","stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"mark=%s a chest for Candelaria"}]}`

// Tour sends a request of each kind and prints its route and outcome.
func Tour(ctx context.Context, f *fleet.Fleet, out io.Writer) error {
	ticket, err := issueTicket(ctx, f.Entries[1])
	if err != nil {
		return err
	}
	reservation := `{"id":"chest-7","holder":"school of Arequipa"}`
	requests := []tourRequest{
		{"chat completion, whole", http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chatBody, false, "whole"), "", 200},
		{"chat completion, streamed", http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chatBody, true, "streamed"), "", 200},
		{"list of models", http.MethodGet, "/v1/models", "", "", 200},
		{"stock lookup", http.MethodGet, "/v1/services/mostrador/stock/devil-mask", "", "", 200},
		{"reservation with a ticket", http.MethodPost, "/v1/services/mostrador/reservations", reservation, ticket, 201},
		{"the same reservation again", http.MethodPost, "/v1/services/mostrador/reservations", reservation, ticket, 201},
		{"unknown model", http.MethodPost, "/v1/chat/completions", `{"model":"none","messages":[{"role":"user","content":"x"}]}`, "", 404},
	}
	for i, request := range requests {
		e := f.Entries[i%len(f.Entries)]
		if err := sendAndPrint(ctx, f, e, request, out); err != nil {
			return err
		}
	}
	return nil
}

func issueTicket(ctx context.Context, e *fleet.Entry) (string, error) {
	response, body, err := send(ctx, e, tourRequest{method: http.MethodPost, path: "/v1/services/mostrador/tickets"})
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusCreated {
		return "", errors.Newf("ticket was refused: %s", body)
	}
	var t struct {
		Ticket string `json:"ticket"`
	}
	err = json.Unmarshal(body, &t)
	return t.Ticket, errors.Wrap(err, "decode ticket")
}

func send(ctx context.Context, e *fleet.Entry, s tourRequest) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, s.method, e.URL()+s.path, strings.NewReader(s.body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.DemoKey)
	if s.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", s.idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "request to entry %q", e.Host)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, errors.Wrap(err, "read answer")
}

func sendAndPrint(ctx context.Context, f *fleet.Fleet, e *fleet.Entry, s tourRequest, out io.Writer) error {
	response, body, err := send(ctx, e, s)
	if err != nil {
		return err
	}
	if response.StatusCode != s.wantStatus {
		return errors.Newf("%s: status %d instead of %d: %s", s.title, response.StatusCode, s.wantStatus, body)
	}
	result := response.Header.Get(outcome.Header)
	if result == "" {
		result = response.Trailer.Get(outcome.Header)
	}
	fmt.Fprintf(out, "%s\n  %s %s at %s: status %d, outcome %q\n", s.title, s.method, s.path, e.Host, response.StatusCode, result)
	printRoute(f, e, response.Header.Get(problem.HeaderRequestID), out)
	fmt.Fprintf(out, "  answer: %s\n\n", truncate(string(body)))
	return nil
}

// printRoute prints the timeline events of a request from its entry and all agents.
func printRoute(f *fleet.Fleet, e *fleet.Entry, request string, out io.Writer) {
	match := func(ev timeline.Event) bool { return string(ev.Request) == request }
	events := e.Ring.Events(match)
	for _, a := range f.Agents {
		events = append(events, a.Ring.Events(match)...)
	}
	timeline.Sort(events)
	for _, ev := range events {
		fmt.Fprintf(out, "  route: %-20s %-20s %s\n", ev.Process, ev.Kind, ev.Endpoint)
	}
}

// maxAnswerBytes is the length at which printed answers are truncated.
const maxAnswerBytes = 160

func truncate(s string) string {
	s = strings.TrimSpace(strings.ReplaceAll(s, "\n", " "))
	if len(s) <= maxAnswerBytes {
		return s
	}
	return s[:maxAnswerBytes] + "..."
}
