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

// Envelope is the stored form of the configuration of a kind.
type Envelope struct {
	// Writer is the name of the operator who wrote the value.
	Writer string `json:"writer"`
	// WrittenAt is the writer's wall-clock time.
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

// Change is an operator's request to replace the configuration of a kind.
type Change struct {
	Kind Kind
	// Value is the JSON of a ServiceSet, TeamSet or EndpointSet.
	Value []byte
	// SeenVersion is the version on which the change is based, zero to create the kind.
	SeenVersion uint64
	// Writer is the name of the operator.
	Writer string
	// Now is the wall-clock time of the change.
	Now time.Time
}

// Accepted is the result of a committed change.
type Accepted struct {
	Kind    Kind   `json:"kind"`
	Version uint64 `json:"version"`
}

// LostRaceError reports that another change was accepted after the version on which
// the change is based. Nothing was written.
type LostRaceError struct {
	Kind Kind
	// SeenVersion is the version on which the change is based, CurrentVersion the stored
	// one, zero if there is none.
	SeenVersion, CurrentVersion uint64
	// Writer and WrittenAt are those of the current version.
	Writer    string
	WrittenAt time.Time
}

func (e *LostRaceError) Error() string {
	if e.CurrentVersion == 0 {
		return fmt.Sprintf("configuration %q does not exist, the change is based on version %d", string(e.Kind), e.SeenVersion)
	}
	return fmt.Sprintf("configuration %q was changed by %q at %s: it has version %d, the change is based on version %d",
		string(e.Kind), e.Writer, e.WrittenAt.UTC().Format(time.RFC3339), e.CurrentVersion, e.SeenVersion)
}

// Accept validates a change, also against the other kinds, and commits it by a
// conditional update. The error is a finding.List, a *LostRaceError or an error of the
// store; the change is committed if it is nil. Accept blocks on the store.
func Accept(ctx context.Context, store objectapi.Store, c Change) (Accepted, error) {
	set, err := Decode(c.Kind, c.Value)
	if err != nil {
		return Accepted{}, err
	}
	current, err := loadSnapshot(ctx, store, c.Kind)
	if err != nil {
		return Accepted{}, err
	}
	if err := validateAcross(c.Kind, current.withSet(set)).Err(); err != nil {
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
		return Accepted{}, newLostRaceError(c, conflict.Current)
	}
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Kind: c.Kind, Version: written.Version}, nil
}

func newLostRaceError(c Change, current objectapi.Object) error {
	e := &LostRaceError{Kind: c.Kind, SeenVersion: c.SeenVersion, CurrentVersion: current.Version}
	if envelope, err := DecodeEnvelope(current.Value); err == nil {
		e.Writer, e.WrittenAt = envelope.Writer, envelope.WrittenAt
	}
	return e
}

// loadSnapshot reads the configurations of all kinds. It skips an invalid stored value
// of the changed kind, so that the change can repair it.
func loadSnapshot(ctx context.Context, store objectapi.Store, changed Kind) (*Snapshot, error) {
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
