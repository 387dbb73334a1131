package config

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// Envelope is what the platform holds for a kind of configuration.
type Envelope struct {
	// Writer names the operator who wrote the value.
	Writer string `json:"writer"`
	// WrittenAt is the writer's wall time.
	WrittenAt time.Time `json:"written_at"`
	// Value is the JSON of a ServiceSet, TeamSet or EndpointSet.
	Value json.RawMessage `json:"value"`
}

// DecodeEnvelope decodes an Envelope.
func DecodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Envelope{}, errors.Wrap(err, "configuration envelope cannot be decoded")
	}
	return e, nil
}

// Change is one wish of an operator to replace the configuration of a kind.
type Change struct {
	Kind Kind
	// Value is the JSON of a ServiceSet, TeamSet or EndpointSet.
	Value []byte
	// SeenVersion is the version that the operator changed, zero for none.
	SeenVersion uint64
	// Writer names the operator.
	Writer string
	// Now is the wall time of the change.
	Now time.Time
}

// Accepted states that a change is committed.
type Accepted struct {
	Kind    Kind   `json:"kind"`
	Version uint64 `json:"version"`
}

// LostRaceError reports that another change was accepted since the version
// that the operator saw. Nothing was written.
type LostRaceError struct {
	Kind Kind
	// SeenVersion is the version that the operator changed, CurrentVersion the current one.
	SeenVersion, CurrentVersion uint64
	// Writer and WrittenAt tell who wrote the current version and when.
	Writer    string
	WrittenAt time.Time
}

func (e *LostRaceError) Error() string {
	if e.CurrentVersion == 0 {
		return fmt.Sprintf("configuration %q does not exist, the change was made to version %d", string(e.Kind), e.SeenVersion)
	}
	return fmt.Sprintf("configuration %q was changed by %q at %s: it has version %d, the change was made to version %d",
		string(e.Kind), e.Writer, e.WrittenAt.UTC().Format(time.RFC3339), e.CurrentVersion, e.SeenVersion)
}

// Accept validates a change by itself and against the other kinds and commits
// it by a conditional update. A nil error means that it is committed. The error
// is a finding.List, a *LostRaceError or one of the platform's. It blocks on the store.
func Accept(ctx context.Context, store objectapi.Store, c Change) (Accepted, error) {
	set, err := Decode(c.Kind, c.Value)
	if err != nil {
		return Accepted{}, err
	}
	current, err := load(ctx, store, c.Kind)
	if err != nil {
		return Accepted{}, err
	}
	if err := validateAcross(c.Kind, current.with(set)).Err(); err != nil {
		return Accepted{}, err
	}
	value, err := json.Marshal(Envelope{Writer: c.Writer, WrittenAt: c.Now, Value: c.Value})
	if err != nil {
		return Accepted{}, errors.Wrap(err, "configuration envelope cannot be encoded")
	}
	if len(value) > objectapi.MaxValueBytes {
		var l finding.List
		l.Addf("", "the stored value has %d bytes, the limit is %d", len(value), objectapi.MaxValueBytes)
		return Accepted{}, l.Err()
	}
	return commit(ctx, store, c, value)
}

func commit(ctx context.Context, store objectapi.Store, c Change, value []byte) (Accepted, error) {
	written, err := store.Put(ctx, objectapi.Object{
		Kind: ObjectKind, Name: string(c.Kind), Version: c.SeenVersion, Value: value,
	})
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return Accepted{}, lostRace(c, conflict.Current)
	}
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Kind: c.Kind, Version: written.Version}, nil
}

func lostRace(c Change, current objectapi.Object) error {
	e := &LostRaceError{Kind: c.Kind, SeenVersion: c.SeenVersion, CurrentVersion: current.Version}
	if envelope, err := DecodeEnvelope(current.Value); err == nil {
		e.Writer, e.WrittenAt = envelope.Writer, envelope.WrittenAt
	}
	return e
}

// load reads the configurations of all kinds. A stored value of the changed kind
// that cannot be read does not block the change that mends it.
func load(ctx context.Context, store objectapi.Store, changed Kind) (*Snapshot, error) {
	objects, _, err := store.List(ctx, ObjectKind)
	if err != nil {
		return nil, err
	}
	s := NewSnapshot()
	for _, o := range objects {
		next, err := s.Apply(Kind(o.Name), o.Version, o.Value)
		switch {
		case err == nil:
			s = next
		case Kind(o.Name) != changed:
			return nil, errors.Wrapf(err, "stored configuration %q is not valid", o.Name)
		}
	}
	return s, nil
}
