package operator

import (
	"context"
	"fmt"
	"strings"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/operate/answer"
	"github.com/siskinford/siskinford/operate/lang"
	"github.com/siskinford/siskinford/operate/table"
	"github.com/siskinford/siskinford/wire/msg"
)

// explainRequest explains the choice of the endpoint and the outcome of a request.
func (s *Service) explainRequest(ctx context.Context, request id.Request, a *answer.Answer) {
	reply := s.gatherFleet(ctx, peerQuery{Request: request})
	addSources(a, reply)
	events := s.gatherEvents(ctx, &msg.EventsOrder{Request: request}, a)
	summary := reply.Rows
	if summary == nil {
		summary = lang.NewTable(lang.Requests)
	}
	a.Sections = append(a.Sections, conclusionSection(requestConclusion(request, summary, events.Table)),
		answer.Section{Title: "request", Table: *summary})
	if reply.Candidates != nil {
		a.Sections = append(a.Sections, answer.Section{Title: "endpoints compared", Table: *reply.Candidates})
	}
	a.Sections = append(a.Sections, events)
}

func conclusionSection(text string) answer.Section {
	return answer.Section{Title: "conclusion", Table: table.Table{
		Columns: []string{"conclusion"}, Rows: []table.Row{{table.Text(text)}},
	}}
}

// requestConclusion summarizes the state of a request in a sentence.
func requestConclusion(request id.Request, summary *table.Table, events table.Table) string {
	if len(summary.Rows) == 0 {
		if len(events.Rows) == 0 {
			return fmt.Sprintf("no process that answered remembers request %q; it may be too old", request)
		}
		return fmt.Sprintf("no entry that answered remembers request %q, but processes recorded events of it", request)
	}
	row := summary.Rows[0]
	cell := func(name string) string { return row[summary.ColumnIndex(name)].String() }
	detail := cell("detail")
	switch state := cell("state"); state {
	case "answered":
		return fmt.Sprintf("it ran at endpoint %q and was answered", cell("endpoint"))
	case "dispatched":
		return fmt.Sprintf("it was sent to endpoint %q; its end is not known yet", cell("endpoint"))
	case "failed":
		if cell("tries") == "0" {
			return "it was refused before an endpoint was chosen: " + detail
		}
		return fmt.Sprintf("it failed after %s tries, the last at endpoint %q: %s", cell("tries"), cell("endpoint"), detail)
	case "unknown":
		return fmt.Sprintf("whether it ran at endpoint %q cannot be learned: %s", cell("endpoint"), detail)
	default:
		return fmt.Sprintf("its last event is %q at endpoint %q: %s", state, cell("endpoint"), detail)
	}
}

// explainEndpoint explains why an endpoint receives work or does not.
func (s *Service) explainEndpoint(ctx context.Context, e id.Endpoint, a *answer.Answer) {
	configured := s.endpointRows(ctx, lang.Endpoints, "name", e, a)
	views := s.endpointRows(ctx, lang.Replicas, "endpoint", e, a)
	a.Sections = append(a.Sections, conclusionSection(endpointConclusion(e, configured, views)),
		answer.Section{Title: "endpoint", Table: *configured},
		answer.Section{Title: "as the entries see it", Table: *views},
		s.gatherEvents(ctx, &msg.EventsOrder{Endpoint: e, Limit: maxExplainEvents}, a))
}

// maxExplainEvents bounds the events in the explanation of an endpoint.
const maxExplainEvents = 20

// endpointRows gathers the rows of a kind that refer to an endpoint.
func (s *Service) endpointRows(ctx context.Context, k lang.Kind, column string, e id.Endpoint, a *answer.Answer) *table.Table {
	reply := s.gatherFleet(ctx, peerQuery{Kind: k})
	addSources(a, reply)
	out := &table.Table{Columns: reply.Rows.Columns}
	i := reply.Rows.ColumnIndex(column)
	for _, r := range reply.Rows.Rows {
		if r[i].Text == string(e) {
			out.Rows = append(out.Rows, r)
		}
	}
	return out
}

func endpointConclusion(e id.Endpoint, configured, views *table.Table) string {
	if len(configured.Rows) == 0 {
		return fmt.Sprintf("endpoint %q is not configured", e)
	}
	if len(views.Rows) == 0 {
		return fmt.Sprintf("no entry that answered uses endpoint %q", e)
	}
	var uses, rest []string
	for _, r := range views.Rows {
		entry, state := r[views.ColumnIndex("entry")].Text, r[views.ColumnIndex("state")].Text
		if state == string(route.ReasonReady) {
			uses = append(uses, entry)
			continue
		}
		rest = append(rest, fmt.Sprintf("none from %s: %s", entry, state))
	}
	if len(uses) > 0 {
		rest = append([]string{"it receives work from " + strings.Join(uses, ", ")}, rest...)
	}
	return strings.Join(rest, "; ")
}
