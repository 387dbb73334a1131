package operator

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/operate/answer"
	"github.com/siskinford/siskinford/operate/lang"
	"github.com/siskinford/siskinford/operate/table"
	"github.com/siskinford/siskinford/wire/msg"
)

// maxQueries bounds the queries of one script.
const maxQueries = 64

// Answer runs a script of queries, or applies a script of commands on behalf of an
// operator. It blocks on other processes and on the platform.
func (s *Service) Answer(ctx context.Context, q answer.Request, operator string) *answer.Reply {
	statements, findings := lang.Parse(q.Script)
	findings = append(findings, checkScript(statements, findings)...)
	if len(findings) > 0 {
		return &answer.Reply{Findings: findings}
	}
	if statements[0].Command != nil {
		return s.apply(ctx, q, statements, operator)
	}
	reply := &answer.Reply{}
	for _, statement := range statements {
		reply.Answers = append(reply.Answers, s.answerStatement(ctx, statement))
	}
	return reply
}

// checkScript reports a script that is empty, too long, or mixes commands with queries.
func checkScript(statements []*lang.Statement, earlier finding.List) finding.List {
	var l finding.List
	if len(statements) == 0 {
		if len(earlier) == 0 {
			l.Addf("line 1, column 1", "the script has no statement")
		}
		return l
	}
	commands := statements[0].Command != nil
	for _, s := range statements {
		if (s.Command != nil) != commands {
			l.Addf(s.Start(), "queries and commands must be in separate scripts, since commands are accepted as one change")
			return l
		}
	}
	if !commands && len(statements) > maxQueries {
		l.Addf(statements[maxQueries].Start(), "a script may have %d queries", maxQueries)
	}
	return l
}

func (s *Service) answerStatement(ctx context.Context, statement *lang.Statement) answer.Answer {
	a := answer.Answer{Statement: statement.Text, AsOf: time.Now()}
	switch {
	case statement.Query != nil:
		s.answerQuery(ctx, statement.Query, &a)
	case statement.Timeline != nil:
		s.answerTimeline(ctx, statement.Timeline, &a)
	case statement.Explain.Kind == "request":
		s.explainRequest(ctx, id.Request(statement.Explain.Name.String()), &a)
	default:
		s.explainEndpoint(ctx, id.Endpoint(statement.Explain.Name.String()), &a)
	}
	return a
}

// addSources adds the replying and missing processes of a peer reply to an answer.
func addSources(a *answer.Answer, reply *peerReply) {
	a.Processes = append(a.Processes, reply.Processes...)
	slices.Sort(a.Processes)
	a.Processes = slices.Compact(a.Processes)
	for _, m := range reply.Missing {
		if !slices.Contains(a.Missing, m) {
			a.Missing = append(a.Missing, m)
		}
	}
	a.Truncated = a.Truncated || reply.Truncated
}

// gatherKind returns the rows of a kind. Services and teams come from this process's
// configuration, all other kinds from the whole fleet.
func (s *Service) gatherKind(ctx context.Context, k lang.Kind) *peerReply {
	if k == lang.Services || k == lang.Teams {
		return s.gatherLocal(peerQuery{Kind: k})
	}
	return s.gatherFleet(ctx, peerQuery{Kind: k})
}

func (s *Service) answerQuery(ctx context.Context, q *lang.Query, a *answer.Answer) {
	reply := s.gatherKind(ctx, lang.Kind(q.Kind))
	addSources(a, reply)
	a.Sections = []answer.Section{{Title: q.Kind, Table: *q.Apply(reply.Rows)}}
}

func (s *Service) answerTimeline(ctx context.Context, q *lang.Timeline, a *answer.Answer) {
	order := &msg.EventsOrder{}
	for _, o := range q.Options {
		switch o.Name {
		case "since":
			d, _ := time.ParseDuration(o.Value) // Checked by the parser.
			order.Since = a.AsOf.Add(-d).UnixNano()
		case "request":
			order.Request = id.Request(o.Value)
		case "endpoint":
			order.Endpoint = id.Endpoint(o.Value)
		case "kind":
			order.Kind = o.Value
		case "limit":
			order.Limit, _ = strconv.Atoi(o.Value) // Checked by the parser.
		}
	}
	a.Sections = []answer.Section{s.gatherEvents(ctx, order, a)}
}

// gatherEvents returns the events of all processes in order of their timestamps.
func (s *Service) gatherEvents(ctx context.Context, o *msg.EventsOrder, a *answer.Answer) answer.Section {
	reply := s.gatherFleet(ctx, peerQuery{Events: o})
	addSources(a, reply)
	section := answer.Section{Title: "events", Table: table.Table{Columns: []string{
		"at", "logical", "process", "event", "request", "attempt", "endpoint", "incarnation", "duty", "detail",
	}}}
	for _, e := range reply.Events {
		section.Table.Rows = append(section.Table.Rows, eventRow(e))
	}
	return section
}

func eventRow(e timeline.Event) table.Row {
	return table.Row{
		table.Text(e.Stamp.Time().UTC().Format(time.RFC3339Nano)), table.Number(e.Stamp.Logical), table.Text(e.Process), table.Text(e.Kind),
		textOrNull(e.Request), textOrNull(e.Attempt), textOrNull(e.Endpoint), textOrNull(e.Incarnation), textOrNull(e.Duty), textOrNull(e.Detail),
	}
}

// textOrNull returns a null value for the empty string.
func textOrNull[T ~string](x T) table.Value {
	if x == "" {
		return table.Value{}
	}
	return table.Text(x)
}
