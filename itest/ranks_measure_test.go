package itest

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/lab/procs"
	"github.com/siskinford/siskinford/lab/ranks"
)

// measureWindow is the duration of one measurement.
const measureWindow = 10 * time.Second

// counterSum returns the sum of a counter over its directions and all entries.
func (w *groupCluster) counterSum(name string) float64 {
	var sum float64
	for _, e := range w.Entries {
		response, err := http.Get(e.OperatorURL + "/metrics")
		assert.NilError(w.t, err)
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.NilError(w.t, err)
		for line := range strings.Lines(string(text)) {
			var value float64
			_, rest, ok := strings.Cut(line, "} ")
			if ok && strings.HasPrefix(line, name+"{direction") {
				_, _ = fmt.Sscan(rest, &value)
				sum += value
			}
		}
	}
	return sum
}

// window holds the increments of counters and the steps during one measurement.
type window struct {
	changes         int
	messages, bytes float64
	steps           []ranks.StepRecord
}

func (w *groupCluster) measure() window {
	before := w.summary()
	messages, bytes := w.counterSum("siskinford_group_messages_total"), w.counterSum("siskinford_group_bytes_total")
	w.until("window", elapsed(measureWindow))
	after := w.summary()
	steps, err := w.Ranks.Steps(w.ctx)
	assert.NilError(w.t, err)
	return window{
		changes:  len(after.Maps) - len(before.Maps),
		messages: w.counterSum("siskinford_group_messages_total") - messages,
		bytes:    w.counterSum("siskinford_group_bytes_total") - bytes,
		steps:    steps[max(0, len(steps)-int(after.Steps-before.Steps)):],
	}
}

func elapsed(d time.Duration) func() bool {
	end := time.Now().Add(d)
	return func() bool { return time.Now().After(end) }
}

// stepExcess returns the median duration of a step and, for each change, the excess
// of its slowest step over the median, in microseconds.
func (m window) stepExcess() (median int64, excess []int64) {
	var times []int64
	for i := range len(m.steps) - 1 {
		times = append(times, m.steps[i+1].BegunMicros-m.steps[i].BegunMicros)
	}
	sorted := slices.Sorted(slices.Values(times))
	median = sorted[len(sorted)/2]
	for i := 1; i < len(times); i++ {
		if m.steps[i].MapVersions[0] != m.steps[i-1].MapVersions[0] {
			excess = append(excess, max(times[i-1], times[i])-median)
		}
	}
	return median, excess
}

// skews returns the median and the maximum skew of step times.
func (m window) skews() (median, worst float64) {
	var all []float64
	for _, s := range m.steps {
		all = append(all, s.Skew)
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1]
}

// TestMeasureChanges logs the traffic of map changes, the steps that they slow, and
// the skew of step times with and without changes.
func TestMeasureChanges(t *testing.T) {
	if os.Getenv("RANKS_MEASURE") == "" {
		t.Skip("measurement; set RANKS_MEASURE=1 to run it")
	}
	shape := []string{"--jitter=0s", "--token-time=4us"}
	for _, tt := range []struct {
		name  string
		drift string
		plan  string
	}{
		{"no drift", "0s", "500ms"}, {"drift, maps change", "2s", "500ms"}, {"drift, one map", "2s", "10m"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := startGroupCluster(t, append(shape, "--drift="+tt.drift), "--group-plan-interval="+tt.plan)
			w.awaitSteps(300)
			m := w.measure()
			median, excess := m.stepExcess()
			skew, worst := m.skews()
			t.Logf("%s: %d steps, %d changes, %.0f messages, %.0f bytes, step %d us, slowest step of each change +%v us, skew %.3f median %.3f worst",
				procs.Group, len(m.steps), m.changes, m.messages, m.bytes, median, excess, skew, worst)
		})
	}
}
