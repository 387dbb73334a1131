// Package answer holds what the operator API answers and renders it.
package answer

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/operate/change"
	"github.com/siskinford/siskinford/operate/table"
)

// Request is the body of POST /v1/query.
type Request struct {
	// Script holds queries, or commands that change one kind of configuration.
	Script string `json:"script"`
	// DryRun shows what commands would change.
	DryRun bool `json:"dry_run,omitempty"`
	// SeenVersion is the version of the configuration that the operator saw. Zero
	// means the version that the entry reads.
	SeenVersion uint64 `json:"seen,omitempty"`
}

// Reply is the answer to a Question.
type Reply struct {
	// Findings tell what is wrong with the script. Nothing was changed if there is one.
	Findings finding.List `json:"findings,omitempty"`
	Answers  []Answer     `json:"answers,omitempty"`
	// Plan is set for commands.
	Plan *Plan `json:"plan,omitempty"`
	// Error tells why the question could not be answered.
	Error string `json:"error,omitempty"`
}

// Missing is a process that did not answer.
type Missing struct {
	Process string `json:"process" cbor:"1,keyasint"`
	Reason  string `json:"reason" cbor:"2,keyasint"`
}

// Section is one table of an answer.
type Section struct {
	Title string      `json:"title"`
	Table table.Table `json:"table"`
}

// Answer is the answer to one query or question.
type Answer struct {
	Statement string `json:"statement"`
	// AsOf is the wall time of the entry that was asked.
	AsOf time.Time `json:"as_of"`
	// Processes are those that the answer is from.
	Processes []string  `json:"processes"`
	Missing   []Missing `json:"missing,omitempty"`
	// Truncated is true if a process had more rows than fit.
	Truncated bool      `json:"truncated,omitempty"`
	Sections  []Section `json:"sections"`
}

// State tells what became of a plan.
type State string

const (
	// DryRun means that nothing was to be changed.
	DryRun State = "dry-run"
	// Unchanged means that the configuration has the wanted state already.
	Unchanged State = "unchanged"
	// Accepted means that the change is committed.
	Accepted State = "accepted"
	// LostRace means that another change came first. Nothing was changed.
	LostRace State = "lost-race"
	// NotAccepted means that nothing was changed.
	NotAccepted State = "not-accepted"
	// OutcomeUnknown means that the change may or may not have been committed.
	OutcomeUnknown State = "unknown"
)

// Plan is a change of one kind of configuration and what became of it.
type Plan struct {
	Kind  config.Kind `json:"kind"`
	State State       `json:"state"`
	// SeenVersion is the version that the change was made to.
	SeenVersion uint64          `json:"seen"`
	Changes     []change.Change `json:"changes"`
	// Version is that of the accepted change.
	Version uint64 `json:"version,omitempty"`
	Race    *Race  `json:"race,omitempty"`
}

// Race tells who changed what since the version that the operator saw.
type Race struct {
	Version   uint64    `json:"version"`
	Writer    string    `json:"writer"`
	WrittenAt time.Time `json:"written_at"`
	// Changes are those since the seen version. Known is false if the entry
	// does not hold the seen version any more.
	Changes      []change.Change `json:"changes"`
	ChangesKnown bool            `json:"known"`
}

// WriteJSONLines writes the rows and changes, then one line on their origin.
func (a *Answer) WriteJSONLines(w io.Writer) error {
	for _, s := range a.Sections {
		if err := s.Table.WriteJSONLines(w); err != nil {
			return err
		}
	}
	return writeLine(w, origin{Statement: a.Statement, AsOf: a.AsOf, Processes: a.Processes, Missing: a.Missing, Truncated: a.Truncated})
}

// WriteText writes the tables and a line on their origin.
func (a *Answer) WriteText(w io.Writer) error {
	for _, s := range a.Sections {
		if len(a.Sections) > 1 {
			fmt.Fprintf(w, "%s:\n", s.Title)
		}
		if err := s.Table.WriteText(w); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "-- as of %s from %s\n", a.AsOf.UTC().Format(time.RFC3339Nano), strings.Join(a.Processes, ", "))
	if a.Truncated {
		fmt.Fprintln(w, "-- truncated: a process had more rows than fit")
	}
	for _, m := range a.Missing {
		fmt.Fprintf(w, "-- no answer from %s: %s\n", m.Process, m.Reason)
	}
	return nil
}

// WriteText writes what changes and what became of it.
func (p *Plan) WriteText(w io.Writer) error {
	for _, c := range p.Changes {
		fmt.Fprintln(w, c)
	}
	switch p.State {
	case DryRun:
		fmt.Fprintf(w, "-- dry run: %s has version %d, nothing was changed\n", p.Kind, p.SeenVersion)
	case Unchanged:
		fmt.Fprintf(w, "-- %s has this state already in version %d, nothing was changed\n", p.Kind, p.SeenVersion)
	case Accepted:
		fmt.Fprintf(w, "-- accepted: %s has version %d\n", p.Kind, p.Version)
	case OutcomeUnknown:
		fmt.Fprintf(w, "-- unknown: the change of %s to version %d may or may not have been accepted; ask for configurations\n", p.Kind, p.SeenVersion)
	case NotAccepted:
		fmt.Fprintln(w, "-- not accepted: nothing was changed")
	case LostRace:
		p.writeRace(w)
	}
	return nil
}

func (p *Plan) writeRace(w io.Writer) {
	fmt.Fprintf(w, "-- not accepted: %s was changed by %q at %s to version %d, your change was made to version %d\n",
		p.Kind, p.Race.Writer, p.Race.WrittenAt.UTC().Format(time.RFC3339), p.Race.Version, p.SeenVersion)
	if !p.Race.ChangesKnown {
		fmt.Fprintf(w, "-- this entry does not hold version %d any more, so the changes since are not known\n", p.SeenVersion)
	}
	for _, c := range p.Race.Changes {
		fmt.Fprintf(w, "-- since then: %s\n", c)
	}
}
