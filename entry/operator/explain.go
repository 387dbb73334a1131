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

// explainRequest tells why a request went where it did and what is known of its outcome.
func (s *Service) explainRequest(ctx context.Context, request id.Request, a *answer.Answer) {
	t := s.fleet(ctx, ask{Request: request})
	from(a, t)
	events := s.events(ctx, &msg.EventsOrder{Request: request}, a)
	summary := t.Rows
	if summary == nil {
		summary = lang.NewTable(lang.Requests)
	}
	a.Sections = append(a.Sections, conclusion(requestConclusion(request, summary, events.Table)),
		answer.Section{Title: "request", Table: *summary})
	if t.Candidates != nil {
		a.Sections = append(a.Sections, answer.Section{Title: "endpoints compared", Table: *t.Candidates})
	}
	a.Sections = append(a.Sections, events)
}

func conclusion(text string) answer.Section {
	return answer.Section{Title: "conclusion", Table: table.Table{
		Columns: []string{"conclusion"}, Rows: []table.Row{{table.Text(text)}},
	}}
}

// requestConclusion puts what is known of a request into a sentence.
func requestConclusion(request id.Request, summary *table.Table, events table.Table) string {
	if len(summary.Rows) == 0 {
		if len(events.Rows) == 0 {
			return fmt.Sprintf("no process that answered remembers request %q; it may be too old", request)
		}
		return fmt.Sprintf("no entry that answered remembers request %q, but processes recorded events of it", request)
	}
	row := summary.Rows[0]
	cell := func(name string) string { return row[summary.Column(name)].String() }
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

// explainEndpoint tells why an endpoint receives work or none.
func (s *Service) explainEndpoint(ctx context.Context, e id.Endpoint, a *answer.Answer) {
	configured := s.about(ctx, lang.Endpoints, "name", e, a)
	views := s.about(ctx, lang.Replicas, "endpoint", e, a)
	a.Sections = append(a.Sections, conclusion(endpointConclusion(e, configured, views)),
		answer.Section{Title: "endpoint", Table: *configured},
		answer.Section{Title: "as the entries see it", Table: *views},
		s.events(ctx, &msg.EventsOrder{Endpoint: e, Limit: explainEvents}, a))
}

// explainEvents bounds the events in the explanation of an endpoint.
const explainEvents = 20

// about gathers the rows of a kind that concern an endpoint.
func (s *Service) about(ctx context.Context, k lang.Kind, column string, e id.Endpoint, a *answer.Answer) *table.Table {
	t := s.fleet(ctx, ask{Kind: k})
	from(a, t)
	out := &table.Table{Columns: t.Rows.Columns}
	i := t.Rows.Column(column)
	for _, r := range t.Rows.Rows {
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
		entry, state := r[views.Column("entry")].Text, r[views.Column("state")].Text
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
