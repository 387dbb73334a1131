package ranks

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/balance/lockstep"
)

// StepRecord records the maps used in one step.
type StepRecord struct {
	Formation lockstep.Epoch `json:"formation"`
	Step      lockstep.Step  `json:"step"`
	// MapVersions holds the map used by each rank, zero if it hasn't started the step.
	MapVersions []lockstep.Version `json:"map_versions"`
	// BegunMicros is when the first rank started the step, since the start of the group.
	BegunMicros int64 `json:"begun_us"`
	// Skew is the ratio of the longest to the mean step duration of the ranks.
	Skew float64 `json:"skew"`
}

// Summary aggregates the recorded steps.
type Summary struct {
	// Steps is the number of steps that every rank started.
	Steps uint64 `json:"steps"`
	// Violations holds steps whose ranks used different maps, steps that a rank repeated,
	// and steps started after one of a later formation.
	Violations []StepRecord `json:"splits"`
	// Maps holds the maps of all steps, in order of first use.
	Maps      []lockstep.Version `json:"maps"`
	Formation lockstep.Epoch     `json:"formation"`
	// MapVersion is the map of the last step that every rank started.
	MapVersion lockstep.Version `json:"map_version"`
}

// maxViolations bounds the retained violations.
const maxViolations = 64

type stepKey struct {
	formation lockstep.Epoch
	step      lockstep.Step
}

// recorder records the maps of all steps. It is guarded by Group.mu.
type recorder struct {
	size, maxRecords int
	started          time.Time
	open             map[stepKey]*openStep
	records          []StepRecord
	summary          Summary
}

// openStep is a step that some ranks have started.
type openStep struct {
	record     StepRecord
	ranksBegun int
	longest    time.Duration
	sum        time.Duration
}

func newRecorder(size, keep int, now time.Time) *recorder {
	return &recorder{size: size, maxRecords: keep, started: now, open: map[stepKey]*openStep{}}
}

// begin records that a rank starts a step of duration d on map v.
func (w *recorder) begin(rank int, key stepKey, v lockstep.Version, d time.Duration, now time.Time) {
	s := w.stepFor(key, now)
	again := s.record.MapVersions[rank] != 0
	s.record.MapVersions[rank] = v
	s.ranksBegun++
	s.longest = max(s.longest, d)
	s.sum += d
	if again || key.formation < w.summary.Formation || mapsDiffer(s.record.MapVersions) {
		w.addViolation(s.record)
	}
	if key.formation > w.summary.Formation {
		w.startFormation(key.formation)
	}
	if s.ranksBegun == w.size {
		w.complete(key, s)
	}
}

func (w *recorder) stepFor(key stepKey, now time.Time) *openStep {
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

// startFormation discards the open steps of earlier formations, which can't complete.
func (w *recorder) startFormation(formation lockstep.Epoch) {
	w.summary.Formation = formation
	for key := range w.open {
		if key.formation < formation {
			delete(w.open, key)
		}
	}
}

func (w *recorder) addViolation(r StepRecord) {
	if len(w.summary.Violations) < maxViolations {
		r.MapVersions = slices.Clone(r.MapVersions)
		w.summary.Violations = append(w.summary.Violations, r)
	}
}

func (w *recorder) complete(key stepKey, s *openStep) {
	delete(w.open, key)
	s.record.Skew = float64(s.longest) * float64(w.size) / float64(s.sum)
	w.summary.Steps++
	w.records = append(w.records, s.record)
	if len(w.records) >= 2*w.maxRecords {
		w.records = slices.Delete(w.records, 0, w.maxRecords)
	}
	v := s.record.MapVersions[0]
	w.summary.MapVersion = v
	if !slices.Contains(w.summary.Maps, v) {
		w.summary.Maps = append(w.summary.Maps, v)
	}
}

// mapsDiffer reports whether two ranks used different maps.
func mapsDiffer(versions []lockstep.Version) bool {
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
