package ranks

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/balance/lockstep"
)

// StepRecord is the witness of one step.
type StepRecord struct {
	Formation lockstep.Epoch `json:"formation"`
	Step      lockstep.Step  `json:"step"`
	// MapVersions holds the map that each rank used, zero for a rank that has
	// not begun the step.
	MapVersions []lockstep.Version `json:"map_versions"`
	// BegunMicros is the time since the start of the group at which the first rank
	// began the step. Unit: microseconds.
	BegunMicros int64 `json:"begun_us"`
	// Skew is the longest over the mean time of the ranks that began the step.
	Skew float64 `json:"skew"`
}

// Summary is the state of the witness.
type Summary struct {
	// Steps is the number of steps that every rank began.
	Steps uint64 `json:"steps"`
	// Violations are the records of steps against the rule that all ranks use one map,
	// and that no step of a formation is begun after one of a later formation.
	Violations []StepRecord `json:"splits"`
	// Maps are the maps of all steps, in order of their first use.
	Maps      []lockstep.Version `json:"maps"`
	Formation lockstep.Epoch     `json:"formation"`
	// MapVersion is the map of the last step that every rank began.
	MapVersion lockstep.Version `json:"map_version"`
}

// maxSplits bounds the kept records of violations.
const maxSplits = 64

type stepKey struct {
	formation lockstep.Epoch
	step      lockstep.Step
}

// witness records the map of each step. It is guarded by Group.mu.
type witness struct {
	size, keep int
	started    time.Time
	open       map[stepKey]*openStep
	records    []StepRecord
	summary    Summary
}

// openStep is a step that some rank has begun.
type openStep struct {
	record  StepRecord
	begun   int
	longest time.Duration
	sum     time.Duration
}

func newWitness(size, keep int, now time.Time) *witness {
	return &witness{size: size, keep: keep, started: now, open: map[stepKey]*openStep{}}
}

// begin records that a rank begins a step on map v that takes d.
func (w *witness) begin(rank int, key stepKey, v lockstep.Version, d time.Duration, now time.Time) {
	s := w.step(key, now)
	again := s.record.MapVersions[rank] != 0
	s.record.MapVersions[rank] = v
	s.begun++
	s.longest = max(s.longest, d)
	s.sum += d
	if again || key.formation < w.summary.Formation || differs(s.record.MapVersions) {
		w.split(s.record)
	}
	if key.formation > w.summary.Formation {
		w.enter(key.formation)
	}
	if s.begun == w.size {
		w.complete(key, s)
	}
}

func (w *witness) step(key stepKey, now time.Time) *openStep {
	s := w.open[key]
	if s == nil {
		s = &openStep{record: StepRecord{
			Formation: key.formation, Step: key.step,
			MapVersions: make([]lockstep.Version, w.size), BegunMicros: now.Sub(w.started).Microseconds(),
		}}
		w.open[key] = s
	}
	return s
}

// enter forgets the open steps of earlier formations, which are not completed.
func (w *witness) enter(formation lockstep.Epoch) {
	w.summary.Formation = formation
	for key := range w.open {
		if key.formation < formation {
			delete(w.open, key)
		}
	}
}

func (w *witness) split(r StepRecord) {
	if len(w.summary.Violations) < maxSplits {
		r.MapVersions = slices.Clone(r.MapVersions)
		w.summary.Violations = append(w.summary.Violations, r)
	}
}

func (w *witness) complete(key stepKey, s *openStep) {
	delete(w.open, key)
	s.record.Skew = float64(s.longest) * float64(w.size) / float64(s.sum)
	w.summary.Steps++
	w.records = append(w.records, s.record)
	if len(w.records) >= 2*w.keep {
		w.records = slices.Delete(w.records, 0, w.keep)
	}
	v := s.record.MapVersions[0]
	w.summary.MapVersion = v
	if !slices.Contains(w.summary.Maps, v) {
		w.summary.Maps = append(w.summary.Maps, v)
	}
}

// differs reports whether two ranks used different maps.
func differs(versions []lockstep.Version) bool {
	var first lockstep.Version
	for _, v := range versions {
		if v == 0 {
			continue
		}
		if first == 0 {
			first = v
		}
		if v != first {
			return true
		}
	}
	return false
}
