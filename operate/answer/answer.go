// Package answer defines the messages of the operator API and renders its replies.
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
	// DryRun computes the changes of commands without committing them.
	DryRun bool `json:"dry_run,omitempty"`
	// SeenVersion is the version of the configuration that the operator saw. Zero
	// means the current one.
	SeenVersion uint64 `json:"seen,omitempty"`
}

// Reply is the response to a Request.
type Reply struct {
	// Findings are the errors of the script. If there are any, nothing was changed.
	Findings finding.List `json:"findings,omitempty"`
	Answers  []Answer     `json:"answers,omitempty"`
	// Plan is set for commands.
	Plan *Plan `json:"plan,omitempty"`
	// Error is the reason why the request failed.
	Error string `json:"error,omitempty"`
}

// Missing is a process that did not reply.
type Missing struct {
	Process string `json:"process" cbor:"1,keyasint"`
	Reason  string `json:"reason" cbor:"2,keyasint"`
}

// Section is one table of an answer.
type Section struct {
	Title string      `json:"title"`
	Table table.Table `json:"table"`
}

// Answer is the result of one statement that is not a command.
type Answer struct {
	Statement string `json:"statement"`
	// AsOf is the wall-clock time of the entry that handled the request.
	AsOf time.Time `json:"as_of"`
	// Processes are the processes that replied.
	Processes []string  `json:"processes"`
	Missing   []Missing `json:"missing,omitempty"`
	// Truncated is true if a process had more rows or events than a reply may hold.
	Truncated bool      `json:"truncated,omitempty"`
	Sections  []Section `json:"sections"`
}

// State is the outcome of a plan.
type State string

const (
	// DryRun means that the plan was not submitted.
	DryRun State = "dry-run"
	// Unchanged means that the plan contains no change.
	Unchanged State = "unchanged"
	// Accepted means that the change is committed.
	Accepted State = "accepted"
	// LostRace means that another change was committed first and this one was not.
	LostRace State = "lost-race"
	// NotAccepted means that the change was not committed because of findings or an error.
	NotAccepted State = "not-accepted"
	// OutcomeUnknown means that the change may or may not have been committed.
	OutcomeUnknown State = "unknown"
)

// Plan is a change of one kind of configuration and its outcome.
type Plan struct {
	Kind  config.Kind `json:"kind"`
	State State       `json:"state"`
	// SeenVersion is the version that the change is based on.
	SeenVersion uint64          `json:"seen"`
	Changes     []change.Change `json:"changes"`
	// Version is the version that an accepted change created.
	Version uint64 `json:"version,omitempty"`
	Race    *Race  `json:"race,omitempty"`
}

// Race describes the latest version and how it differs from the one the operator saw.
type Race struct {
	Version   uint64    `json:"version"`
	Writer    string    `json:"writer"`
	WrittenAt time.Time `json:"written_at"`
	// Changes are the changes since the seen version. ChangesKnown is false if the
	// entry no longer holds that version.
	Changes      []change.Change `json:"changes"`
	ChangesKnown bool            `json:"known"`
}

// WriteJSONLines writes the rows of all sections, then one line on their origin.
func (a *Answer) WriteJSONLines(w io.Writer) error {
	for _, s := range a.Sections {
		if err := s.Table.WriteJSONLines(w); err != nil {
			return err
		}
	}
	return writeLine(w, origin{Statement: a.Statement, AsOf: a.AsOf, Processes: a.Processes, Missing: a.Missing, Truncated: a.Truncated})
}

// WriteText writes the tables, then lines on their origin and completeness.
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

// WriteText writes the changes and the outcome.
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
		fmt.Fprintf(w, "-- unknown: the change of %s to version %d may or may not have been accepted; query configurations\n", p.Kind, p.SeenVersion)
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
		fmt.Fprintf(w, "-- this entry no longer holds version %d, so the changes since are unknown\n", p.SeenVersion)
	}
	for _, c := range p.Race.Changes {
		fmt.Fprintf(w, "-- since then: %s\n", c)
	}
}
