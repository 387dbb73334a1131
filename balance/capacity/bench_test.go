package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// BenchmarkChoice runs the calls to a learner for one choice among 1,200 endpoints, and its share of the evaluations
// at 100 choices and 12,000 answers a second.
func BenchmarkChoice(b *testing.B) {
	var names []id.Endpoint
	for i := range 1200 {
		names = append(names, id.Endpoint(fmt.Sprintf("e%04d", i)))
	}
	l := newTestLearner(names...)
	now := time.Duration(0)
	for i := range 40 * len(names) {
		now += time.Millisecond / 20
		l.Observe(names[i%len(names)], i/len(names)%10, 30*ms, now)
	}
	i := 0
	for b.Loop() {
		now += 10 * ms
		for range 120 { // Keeps the evidence fresh.
			l.Observe(names[i%len(names)], i/len(names)%10, 30*ms, now)
			i++
		}
		for _, name := range names {
			l.Limit(name, now)
			l.Relative(name, 5, now)
		}
	}
}
