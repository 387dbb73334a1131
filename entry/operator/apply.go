package operator

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/operate/answer"
	"github.com/siskinford/siskinford/operate/change"
	"github.com/siskinford/siskinford/operate/lang"
)

// EventConfigChanged is recorded when an operator's change is accepted.
const EventConfigChanged timeline.Kind = "config.changed"

// base is the version of a configuration that a change applies to.
type base struct {
	version uint64
	// value is the JSON configuration, empty for version zero.
	value []byte
}

// apply plans commands against the version that the operator saw and commits
// them by one conditional update.
func (s *Service) apply(ctx context.Context, q answer.Request, statements []*lang.Statement, operator string) *answer.Reply {
	kind, findings := change.KindOf(statements)
	if len(findings) > 0 {
		return &answer.Reply{Findings: findings}
	}
	b, err := s.readBase(ctx, kind, q.DryRun)
	if err != nil {
		return &answer.Reply{Error: err.Error()}
	}
	if q.SeenVersion != 0 && q.SeenVersion != b.version {
		return s.lostRaceReply(ctx, kind, q.SeenVersion)
	}
	plan, findings, err := change.NewPlan(kind, b.value, statements)
	if err != nil {
		return &answer.Reply{Error: err.Error()}
	}
	reply := &answer.Reply{Findings: findings, Plan: &answer.Plan{Kind: kind, SeenVersion: b.version, Changes: plan.Changes}}
	switch {
	case len(findings) > 0:
		reply.Plan.State = answer.NotAccepted
	case len(plan.Changes) == 0:
		reply.Plan.State = answer.Unchanged
	case q.DryRun:
		reply.Plan.State = answer.DryRun
	default:
		s.commit(ctx, plan, operator, reply)
	}
	return reply
}

// readBase reads a configuration from the platform. A dry run falls back to the
// version in force if the platform is unavailable.
func (s *Service) readBase(ctx context.Context, kind config.Kind, dryRun bool) (base, error) {
	o, err := s.deps.Store.Get(ctx, config.ObjectKind, string(kind))
	var absent *objectapi.NotFoundError
	switch {
	case errors.As(err, &absent):
		return base{}, nil
	case err != nil && dryRun:
		n := s.deps.Snapshot()
		o = objectapi.Object{Version: n.Version(kind), Value: n.Value(kind)}
	case err != nil:
		return base{}, errors.Wrap(err, "nothing was changed")
	}
	return s.decodeBase(kind, o)
}

func (s *Service) decodeBase(kind config.Kind, o objectapi.Object) (base, error) {
	if len(o.Value) == 0 {
		return base{}, nil
	}
	envelope, err := config.DecodeEnvelope(o.Value)
	if err != nil {
		return base{}, err
	}
	s.history.add(kind, o.Version, o.Value)
	return base{version: o.Version, value: envelope.Value}, nil
}

func (s *Service) commit(ctx context.Context, p *change.Plan, operator string, reply *answer.Reply) {
	reply.Plan.State = answer.NotAccepted
	accepted, err := config.Accept(ctx, s.deps.Store, config.Change{
		Kind: p.Kind, Value: p.Value, SeenVersion: reply.Plan.SeenVersion, Writer: operator, Now: time.Now(),
	})
	var findings finding.List
	var race *config.LostRaceError
	var unknown *objectapi.OutcomeUnknownError
	switch {
	case err == nil:
		reply.Plan.State, reply.Plan.Version = answer.Accepted, accepted.Version
		s.deps.Recorder.Record(timeline.Event{Kind: EventConfigChanged, Detail: changeDetail(p, operator, accepted.Version)})
	case errors.As(err, &findings):
		reply.Findings = p.Locate(findings)
	case errors.As(err, &race):
		*reply = *s.lostRaceReply(ctx, p.Kind, reply.Plan.SeenVersion)
	case errors.As(err, &unknown):
		reply.Plan.State = answer.OutcomeUnknown
		reply.Error = err.Error()
	default:
		reply.Error = err.Error()
	}
}

// maxDetailChanges bounds the changes listed in the detail of an event.
const maxDetailChanges = 5

func changeDetail(p *change.Plan, operator string, version uint64) string {
	lines := make([]string, 0, maxDetailChanges)
	for _, c := range p.Changes[:min(len(p.Changes), maxDetailChanges)] {
		lines = append(lines, c.String())
	}
	if more := len(p.Changes) - len(lines); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return fmt.Sprintf("%s version %d by %s: %s", p.Kind, version, operator, strings.Join(lines, "; "))
}

// lostRaceReply reports the latest writer and the changes since the version that the
// operator saw.
func (s *Service) lostRaceReply(ctx context.Context, kind config.Kind, seen uint64) *answer.Reply {
	o, err := s.deps.Store.Get(ctx, config.ObjectKind, string(kind))
	var absent *objectapi.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return &answer.Reply{Error: fmt.Sprintf("nothing was changed: %s is not at version %d any more: %v", kind, seen, err)}
	}
	race := &answer.Race{Version: o.Version}
	if envelope, err := config.DecodeEnvelope(o.Value); err == nil {
		race.Writer, race.WrittenAt = envelope.Writer, envelope.WrittenAt
		race.Changes, race.ChangesKnown = s.changesSince(kind, seen, envelope.Value)
	}
	return &answer.Reply{Plan: &answer.Plan{Kind: kind, SeenVersion: seen, State: answer.LostRace, Race: race}}
}

func (s *Service) changesSince(kind config.Kind, seen uint64, current []byte) ([]change.Change, bool) {
	value, ok := s.history.get(kind, seen)
	if !ok {
		return nil, false
	}
	envelope, err := config.DecodeEnvelope(value)
	if err != nil {
		return nil, false
	}
	changes, err := change.Diff(kind, envelope.Value, current)
	return changes, err == nil
}

// maxHistoryVersions bounds the versions kept of each kind.
const maxHistoryVersions = 4

// storedVersion is one version of a configuration.
type storedVersion struct {
	kind    config.Kind
	version uint64
	value   []byte
}

// history keeps the latest versions of each kind. The zero value is ready to
// use. It is safe for concurrent use.
type history struct {
	// mu is a leaf lock.
	mu       sync.Mutex
	versions []storedVersion // oldest first
}

func (h *history) add(kind config.Kind, number uint64, value []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first, count := -1, 0
	for i, v := range h.versions {
		if v.kind != kind {
			continue
		}
		if v.version == number {
			return
		}
		if first < 0 {
			first = i
		}
		count++
	}
	if count >= maxHistoryVersions {
		h.versions = append(h.versions[:first], h.versions[first+1:]...)
	}
	h.versions = append(h.versions, storedVersion{kind: kind, version: number, value: bytes.Clone(value)})
}

func (h *history) get(kind config.Kind, number uint64) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.versions {
		if v.kind == kind && v.version == number {
			return v.value, true
		}
	}
	return nil, false
}
