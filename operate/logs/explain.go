package logs

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Outcome is the outcome of a request as far as it was logged.
type Outcome string

const (
	// Answered means that the client received a complete response.
	Answered Outcome = "answered"
	// NotRun means that the request was refused and has not run.
	NotRun Outcome = "refused"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "outcome unknown"
	// StreamBroken means that a stream ended before its last event.
	StreamBroken Outcome = "stream broken off"
	// Abandoned means that the client went away.
	Abandoned Outcome = "abandoned by the client"
	// NotLogged means that the logs do not contain the outcome.
	NotLogged Outcome = "the end is not in the logs"
)

// Report explains one request.
type Report struct {
	Request string
	Outcome Outcome
	// Cause explains the outcome in one sentence.
	Cause string
	// Lines are the log lines of the request.
	Lines []Line
	// RelatedLines are lines of the same host or service that belong to no request,
	// such as state changes of members and groups, shortly before and during this one.
	RelatedLines []Line
}

// lookback is how long before a request an event may explain it. A silent host or
// group is detected within about a second.
const lookback = 2 * time.Second

// Explain explains a request from lines in time order. It returns false if none is about it.
func Explain(lines []Line, request string) (Report, bool) {
	r := Report{Request: request, Outcome: NotLogged}
	for _, l := range lines {
		if l.Request == request {
			r.Lines = append(r.Lines, l)
		}
	}
	if len(r.Lines) == 0 {
		return r, false
	}
	r.Outcome, r.Cause = determineOutcome(r.Lines)
	r.RelatedLines = append(r.partLines(lines), r.relatedLines(lines)...)
	Sort(r.RelatedLines)
	return r, true
}

// partLines returns what led to the refusal of a request for a part of its prompt, however long
// ago: the changes of the part and the attempts that the endpoints broke off.
func (r *Report) partLines(lines []Line) []Line {
	last := r.Lines[len(r.Lines)-1]
	if last.Event != "request.quarantined" {
		return nil
	}
	evidence := make(map[string]bool)
	for _, l := range lines {
		if l.isChangeOf(last.text("part")) {
			evidence[l.text("evidence")] = true
		}
	}
	var out []Line
	for _, l := range lines {
		if l.Time.After(last.Time) {
			continue
		}
		if l.isChangeOf(last.text("part")) || (l.Event == "attempt.lost" && evidence[l.Request] && l.Request != r.Request) {
			out = append(out, l)
		}
	}
	return out
}

// isChangeOf reports whether an entry changed its mind on a part of prompts by itself.
func (l Line) isChangeOf(part string) bool {
	learned, _ := l.Fields["learned"].(bool)
	return strings.HasPrefix(l.Event, "part.") && l.text("part") == part && !learned
}

// relatedLines selects Report.RelatedLines.
func (r *Report) relatedLines(lines []Line) []Line {
	first, last := r.Lines[0], r.Lines[len(r.Lines)-1]
	began := last.Time.Add(-last.duration("after"))
	if first.Time.Before(began) {
		began = first.Time
	}
	var out []Line
	for _, l := range lines {
		if l.Request != "" || strings.HasPrefix(l.Event, "part.") || l.Time.Before(began.Add(-lookback)) || l.Time.After(last.Time) {
			continue
		}
		sameService := l.Service != "" && l.Service == last.Service
		if l.Host == last.Host || sameService {
			out = append(out, l)
		}
	}
	return out
}

func determineOutcome(lines []Line) (Outcome, string) {
	last := lines[len(lines)-1]
	switch last.Event {
	case "request.answered":
		return Answered, fmt.Sprintf("endpoint %s answered %.0f after %v; tries: %.0f", last.text("endpoint"), last.number("status"), last.duration("after"), last.number("sent"))
	case "request.rejected":
		return NotRun, fmt.Sprintf("answered %.0f before any service was chosen: %s (configuration %.0f)", last.number("status"), last.Message, last.number("config"))
	case "request.refused":
		if last.number("status") == badGateway {
			return OutcomeUnknown, "an earlier try may have run; then: " + refusalCause(lines)
		}
		return NotRun, refusalCause(lines)
	case "request.quarantined":
		cause := fmt.Sprintf("part %s of its prompt is %s, %v after the last end of an endpoint that is blamed on it", last.text("part"), last.text("state"), last.duration("age"))
		if last.number("status") == badGateway {
			return OutcomeUnknown, fmt.Sprintf("sent to %s; then: %s", strings.Join(triedEndpoints(lines), ", "), cause)
		}
		return NotRun, cause
	case "request.failed":
		return OutcomeUnknown, fmt.Sprintf("sent to %s; then: %s", strings.Join(triedEndpoints(lines), ", "), last.text("error"))
	case "stream.broken":
		return StreamBroken, fmt.Sprintf("%.0f events were passed on, the last from %s; then: %s; it was not continued: %s",
			last.number("events"), strings.Join(triedEndpoints(lines), ", "), last.text("error"), orElse(last.Message, "no try was left"))
	case "request.abandoned":
		return Abandoned, fmt.Sprintf("the client closed the connection after %v; tries: %.0f", last.duration("after"), last.number("sent"))
	}
	return NotLogged, fmt.Sprintf("the last line is %s at %s", last.Event, last.Host)
}

// badGateway is the status of a refusal after a try that may have run.
const badGateway = 502

func refusalCause(lines []Line) string {
	l := lines[len(lines)-1]
	var b strings.Builder
	fmt.Fprintf(&b, "%s; ", l.Message)
	for _, q := range lines {
		if q.Event == "request.queued" {
			fmt.Fprintf(&b, "when it was queued %.0f of %.0f places were taken; ", q.number("running"), q.number("places"))
			break
		}
	}
	fmt.Fprintf(&b, "it waited %v, then %.0f of %.0f places were taken and %.0f requests waited", l.duration("waited"), l.number("running"), l.number("places"), l.number("waiting"))
	if down := l.duration("down_for"); down > 0 {
		fmt.Fprintf(&b, "; its group had been down for %v", down)
	}
	fmt.Fprintf(&b, "; it was asked back after %v", l.duration("retry_after"))
	return b.String()
}

// triedEndpoints returns the endpoints that a request was sent to.
func triedEndpoints(lines []Line) []string {
	var out []string
	for _, l := range lines {
		if l.Event == "request.chosen" && !slices.Contains(out, l.text("endpoint")) {
			out = append(out, l.text("endpoint"))
		}
	}
	return out
}

func orElse(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// Write prints the report.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n  %s\n", r.Request, r.Outcome, r.Cause)
	fmt.Fprintln(&b, "lines of the request:")
	writeLines(&b, r.Lines)
	fmt.Fprintln(&b, "what its entry and its service went through:")
	if len(r.RelatedLines) == 0 {
		fmt.Fprintln(&b, "  nothing changed")
	}
	writeLines(&b, r.RelatedLines)
	_, err := io.WriteString(w, b.String())
	return err
}

// writeLines prints lines. Consecutive lines with the same host and event are
// collapsed into the first one and a count.
func writeLines(b *strings.Builder, lines []Line) {
	for i := 0; i < len(lines); {
		l, n := lines[i], 1
		for i+n < len(lines) && lines[i+n].Event == l.Event && lines[i+n].Host == l.Host {
			n++
		}
		l.write(b)
		if n > 1 {
			fmt.Fprintf(b, "    and %d more until %s\n", n-1, lines[i+n-1].Time.UTC().Format(timeOfDayFormat))
		}
		i += n
	}
}

const timeOfDayFormat = "15:04:05.000"

func (l Line) write(b *strings.Builder) {
	fmt.Fprintf(b, "  %s %s %s", l.Time.UTC().Format(timeOfDayFormat), l.Host, l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		v := l.Fields[name]
		if n, ok := v.(float64); ok {
			v = strconv.FormatFloat(n, 'f', -1, 64)
		}
		fmt.Fprintf(b, " %s=%v", name, v)
	}
	if l.Message != "" {
		fmt.Fprintf(b, " (%s)", l.Message)
	}
	b.WriteByte('\n')
}
