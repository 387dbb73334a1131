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

func newRecorder(size, maxRecords int, now time.Time) *recorder {
	return &recorder{size: size, maxRecords: maxRecords, started: now, open: map[stepKey]*openStep{}}
}

// begin records that a rank starts a step of duration d on map v.
func (rec *recorder) begin(rank int, key stepKey, v lockstep.Version, d time.Duration, now time.Time) {
	s := rec.stepFor(key, now)
	again := s.record.MapVersions[rank] != 0
	s.record.MapVersions[rank] = v
	s.ranksBegun++
	s.longest = max(s.longest, d)
	s.sum += d
	if again || key.formation < rec.summary.Formation || mapsDiffer(s.record.MapVersions) {
		rec.addViolation(s.record)
	}
	if key.formation > rec.summary.Formation {
		rec.startFormation(key.formation)
	}
	if s.ranksBegun == rec.size {
		rec.complete(key, s)
	}
}

func (rec *recorder) stepFor(key stepKey, now time.Time) *openStep {
	s := rec.open[key]
	if s == nil {
		s = &openStep{record: StepRecord{
			Formation: key.formation, Step: key.step,
			MapVersions: make([]lockstep.Version, rec.size), BegunMicros: now.Sub(rec.started).Microseconds(),
		}}
		rec.open[key] = s
	}
	return s
}

// startFormation discards the open steps of earlier formations, which can't complete.
func (rec *recorder) startFormation(formation lockstep.Epoch) {
	rec.summary.Formation = formation
	for key := range rec.open {
		if key.formation < formation {
			delete(rec.open, key)
		}
	}
}

func (rec *recorder) addViolation(r StepRecord) {
	if len(rec.summary.Violations) < maxViolations {
		r.MapVersions = slices.Clone(r.MapVersions)
		rec.summary.Violations = append(rec.summary.Violations, r)
	}
}

func (rec *recorder) complete(key stepKey, s *openStep) {
	delete(rec.open, key)
	s.record.Skew = float64(s.longest) * float64(rec.size) / float64(s.sum)
	rec.summary.Steps++
	rec.records = append(rec.records, s.record)
	if len(rec.records) >= 2*rec.maxRecords {
		rec.records = slices.Delete(rec.records, 0, rec.maxRecords)
	}
	v := s.record.MapVersions[0]
	rec.summary.MapVersion = v
	if !slices.Contains(rec.summary.Maps, v) {
		rec.summary.Maps = append(rec.summary.Maps, v)
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
