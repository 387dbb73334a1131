package quarantine

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// State is what is believed of a part. Of two records with the same version, the one with the
// greater state holds.
type State uint8

const (
	// Cleared parts are answered, although an end was blamed on them.
	Cleared State = iota
	// Suspected parts belong to one of several requests that may have ended an endpoint.
	Suspected
	// Blocked parts belong to the only request that can have ended an endpoint.
	Blocked
)

func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

var stateNames = [...]string{"cleared", "suspected", "blocked"}

// EndID identifies the end of one lifetime of an endpoint.
type EndID uint32

const (
	// maxEnds and maxCompanions bound the lists of a record.
	maxEnds       = 4
	maxCompanions = 8
)

// Record is what is known of one part.
type Record struct {
	Part id.Part
	// Version orders the records of a part. Each change of an entry increases it.
	Version uint32
	State   State
	// ByOperator is true if an operator blocked the part: it is neither vouched for nor tried.
	ByOperator bool
	// Ends are the last ends of endpoints that are blamed on the part.
	Ends []EndID
	// Companions are the other parts that were blamed for each of the ends.
	Companions []id.Part
	// Ambiguous is true if the part was never the only one blamed, and only in requests of Team.
	Ambiguous bool
	Team      id.Team
	// Witnessed is true if the last end came when an answer to the part was about to begin.
	Witnessed bool
	// Trials is the number of requests that were sent while the part was blocked.
	Trials int
	// Until is when a blocked part may be tried.
	Until time.Duration
	// Claimant is the entry that tries the part until ClaimUntil, empty if none does.
	Claimant   id.Host
	ClaimUntil time.Duration
	// ChangedAt is when this entry made or learned of the version.
	ChangedAt time.Duration
	// BlamedAt is when this entry learned of the last end.
	BlamedAt time.Duration

	// UsedAt is when a request with the part last arrived at some entry.
	UsedAt time.Duration
}

// blame adds an end. It reports whether the end is new to the record.
func (r *Record) blame(end EndID, now time.Duration) bool {
	if slices.Contains(r.Ends, end) {
		return false
	}
	if len(r.Ends) == maxEnds {
		r.Ends = r.Ends[1:]
	}
	r.Ends = append(slices.Clone(r.Ends), end)
	r.BlamedAt = now
	return true
}

// narrow records that of the parts that were blamed before, only these come into question: one part does harm, and it
// was there each time.
func (r *Record) narrow(parts []id.Part, ambiguous bool, team id.Team) {
	r.Companions = slices.DeleteFunc(slices.Clone(r.Companions), func(p id.Part) bool { return !contains(parts, p) })
	r.Ambiguous = r.Ambiguous && ambiguous && r.Team == team
}

// claimed reports whether an entry tries the part now.
func (r *Record) claimed(now time.Duration) bool { return r.Claimant != "" && now < r.ClaimUntil }

// supersededBy reports whether a received record replaces r.
func (r *Record) supersededBy(in Record) bool {
	switch {
	case in.Version != r.Version:
		return in.Version > r.Version
	case in.State != r.State:
		return in.State > r.State
	case in.Claimant != r.Claimant:
		return in.Claimant != "" && (r.Claimant == "" || in.Claimant < r.Claimant)
	}
	return false
}

// newCompanions returns the parts that are blamed together with one of them: all, or some from the whole list if there
// are many.
func newCompanions(parts []id.Part, of int) []id.Part {
	others := len(parts) - 1
	n := min(others, maxCompanions)
	out := make([]id.Part, n)
	for i := range out {
		out[i] = parts[(of+1+i*others/n)%len(parts)]
	}
	return out
}

// specific reports whether a part is blamed beside few others. The parts of a long prompt are blamed together until
// another request with one of them is lost.
func (r *Record) specific() bool { return r.ByOperator || len(r.Companions) < maxCompanions }

// shareRank orders the records to send to other entries, least first: blocked parts, then those that came again after
// the first end, since entries have to agree on a trial, and those that were cleared. The parts of long prompts come after others.
func (r *Record) shareRank() int {
	recurs := r.State != Cleared && (r.Version > 1 || r.Claimant != "")
	switch {
	case r.State == Blocked && r.specific():
		return 0
	case recurs && r.specific():
		return 1
	case recurs, r.State == Cleared:
		return 2
	case r.State == Blocked:
		return 3
	}
	return 4
}

// Message is a record as sent to other entries, with times relative to the sending.
type Message struct {
	Part       id.Part   `cbor:"1,keyasint"`
	Version    uint32    `cbor:"2,keyasint"`
	State      State     `cbor:"3,keyasint"`
	ByOperator bool      `cbor:"4,keyasint,omitempty"`
	Ends       []EndID   `cbor:"5,keyasint,omitempty"`
	Companions []id.Part `cbor:"6,keyasint,omitempty"`
	Trials     int       `cbor:"7,keyasint,omitempty"`
	// PauseMillis is the time until the part may be tried.
	PauseMillis int64   `cbor:"8,keyasint,omitempty"`
	Claimant    id.Host `cbor:"9,keyasint,omitempty"`
	ClaimMillis int64   `cbor:"10,keyasint,omitempty"`
	// IdleMillis is the time since a request with the part last arrived.
	IdleMillis int64   `cbor:"11,keyasint,omitempty"`
	Ambiguous  bool    `cbor:"12,keyasint,omitempty"`
	Team       id.Team `cbor:"13,keyasint,omitempty"`
	Witnessed  bool    `cbor:"14,keyasint,omitempty"`
	// Hints are hashes of further parts that are not cleared, in a message without a part.
	Hints []byte `cbor:"15,keyasint,omitempty"`
}

func (r *Record) message(now time.Duration) Message {
	return Message{
		Part: r.Part, Version: r.Version, State: r.State, ByOperator: r.ByOperator, Ends: r.Ends, Companions: r.Companions, Trials: r.Trials,
		PauseMillis: max(r.Until-now, 0).Milliseconds(), Claimant: r.Claimant, ClaimMillis: max(r.ClaimUntil-now, 0).Milliseconds(),
		IdleMillis: max(now-r.UsedAt, 0).Milliseconds(), Ambiguous: r.Ambiguous, Team: r.Team, Witnessed: r.Witnessed,
	}
}

// record returns the record of a message. Values out of range are cut, so that an odd message
// does no more than a blocked part would.
func (m Message) record(now time.Duration) Record {
	millis := func(n int64) time.Duration { return time.Duration(min(max(n, 0), maxMillis)) * time.Millisecond }
	r := Record{
		Part: m.Part, Version: m.Version, State: min(m.State, Blocked), ByOperator: m.ByOperator, Ends: m.Ends, Companions: m.Companions,
		Trials: max(m.Trials, 0), Ambiguous: m.Ambiguous, Team: m.Team, Witnessed: m.Witnessed,
		Until: now + millis(m.PauseMillis), Claimant: m.Claimant, ClaimUntil: now + millis(m.ClaimMillis),
		ChangedAt: now, UsedAt: now - millis(m.IdleMillis),
	}
	r.Ends = r.Ends[:min(len(r.Ends), maxEnds)]
	r.Companions = r.Companions[:min(len(r.Companions), maxCompanions)]
	return r
}

// maxMillis bounds received times to a day.
const maxMillis = 24 * 60 * 60 * 1000
