package queue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/agent/queue"
	"github.com/siskinford/siskinford/wire/msg"
)

// The simulated workload: 3 % of the requests are 50 times longer.
const (
	longShare = 0.03
	longTimes = 50
	minTokens = 20
	maxTokens = 60
	simSlots  = 16
	simStep   = 10 * time.Millisecond
	simPerSeq = 200 * time.Microsecond
)

const (
	maxShortWaitRatio = 1.2
	maxLongLoss       = 0.05
)

// rateFor returns the arrivals per second that use the given share of the engine's capacity.
func rateFor(load float64) float64 {
	step := simStep + simSlots*simPerSeq
	capacity := simSlots / step.Seconds() // tokens per second
	meanTokens := (minTokens + maxTokens) / 2 * (1 - longShare + longShare*longTimes)
	return load * capacity / meanTokens
}

// comparison holds the results of one workload under FIFO and ShortFirst, each with
// and without ("alone") long work.
type comparison struct {
	fifo, fifoAlone, policy, policyAlone summary
}

func compare(load float64, seed uint64, duration time.Duration, resumeSteps int) comparison {
	sim := simulation{slots: simSlots, step: simStep, perSequence: simPerSeq, resumeSteps: resumeSteps}
	config := queue.Config{Slots: simSlots, MaxItems: 1 << 20}
	w := workload{
		seed: seed, duration: duration, rate: rateFor(load),
		longShare: longShare, longTimes: longTimes, minTokens: minTokens, maxTokens: maxTokens,
	}
	all := w.jobs()
	measure := func(q queue.Queue, jobs []*job) summary {
		sim.run(q, jobs, duration)
		return summarize(jobs, duration)
	}
	return comparison{
		fifo:        measure(queue.NewFIFO(config), copyJobs(all)),
		fifoAlone:   measure(queue.NewFIFO(config), withoutLong(all)),
		policy:      measure(queue.NewShortFirst(config), copyJobs(all)),
		policyAlone: measure(queue.NewShortFirst(config), withoutLong(all)),
	}
}

func (c comparison) shortRatio() float64 { return ratio(c.policy.shortP95, c.policyAlone.shortP95) }
func (c comparison) fifoRatio() float64  { return ratio(c.fifo.shortP95, c.fifoAlone.shortP95) }

func (c comparison) longLoss() float64 {
	return 1 - float64(c.policy.longTokens)/float64(c.fifo.longTokens)
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }

// BenchmarkHeadOfLine simulates an hour for several loads and seeds. Run it with
// -benchtime 1x.
func BenchmarkHeadOfLine(b *testing.B) {
	for _, load := range []float64{0.6, 0.8, 0.9, 1.1} {
		for _, resumeSteps := range []int{0, 2} {
			for seed := range uint64(2) {
				b.Run(fmt.Sprintf("load=%.1f/resume=%d/seed=%d", load, resumeSteps, seed), func(b *testing.B) {
					for b.Loop() {
						compare(load, seed, time.Hour, resumeSteps).report(b)
					}
				})
			}
		}
	}
}

func (c comparison) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(c.fifoAlone.shortP95.Microseconds())/1000, "fifo-alone-ms")
	b.ReportMetric(float64(c.fifo.shortP95.Microseconds())/1000, "fifo-ms")
	b.ReportMetric(float64(c.policyAlone.shortP95.Microseconds())/1000, "alone-ms")
	b.ReportMetric(float64(c.policy.shortP95.Microseconds())/1000, "policy-ms")
	b.ReportMetric(c.fifoRatio(), "fifo-ratio")
	b.ReportMetric(c.shortRatio(), "policy-ratio")
	b.ReportMetric(100*c.longLoss(), "long-loss-%")
	b.ReportMetric(c.policy.longMax.Seconds(), "long-max-wait-s")
	b.ReportMetric(c.fifo.longMax.Seconds(), "fifo-long-max-wait-s")
	b.ReportMetric(float64(c.policy.maxPauses), "max-pauses")
	b.ReportMetric(c.policy.pauseRate, "pauses/s")
	b.ReportMetric(c.policy.longMean.Seconds()/c.fifo.longMean.Seconds(), "long-time-ratio")
}

func TestHeadOfLineBounds(t *testing.T) {
	for _, load := range []float64{0.8, 0.9} {
		c := compare(load, 1, 10*time.Minute, 2)
		t.Logf("load %.1f: short ratio %.2f, FIFO %.0f, long loss %.4f", load, c.shortRatio(), c.fifoRatio(), c.longLoss())
		assert.Assert(t, c.shortRatio() <= maxShortWaitRatio, "short work waits %.2f times as long as without long work", c.shortRatio())
		assert.Assert(t, c.longLoss() <= maxLongLoss, "long work lost %.3f of its throughput", c.longLoss())
		assert.Assert(t, c.fifoRatio() > maxShortWaitRatio, "FIFO must show the blocking, or this test shows nothing")
	}
}

// TestLongWorkIsNotStarved checks that long work starts and ends while short work
// alone exceeds the engine's capacity.
func TestLongWorkIsNotStarved(t *testing.T) {
	const until = 2 * time.Minute
	w := workload{seed: 1, duration: until, rate: 2 * rateFor(1) * (1 - longShare + longShare*longTimes), minTokens: minTokens, maxTokens: maxTokens}
	jobs := w.jobs()
	long := &job{item: queue.Item{Attempt: "att_long", Team: "team-0", Class: msg.ClassLong, Work: 2000}, started: notYet, ended: notYet, remaining: 2000}
	jobs = append([]*job{long}, jobs...)
	late := *long
	late.item.Attempt = "att_late"
	late.arrival = jobs[len(jobs)/4].arrival
	jobs = slices.Insert(jobs, len(jobs)/4+1, &late)

	config := queue.Config{Slots: simSlots, MaxItems: 1 << 20, MaxLongWait: 5 * time.Second, MaxPauseTime: time.Second}
	sim := simulation{slots: simSlots, step: simStep, perSequence: simPerSeq}
	sim.run(queue.NewShortFirst(config), jobs, until)
	longestShort := maxTokens * (simStep + simSlots*simPerSeq)
	assert.Assert(t, late.started != notYet, "long work was starved")
	assert.Assert(t, late.started-late.arrival <= config.MaxLongWait+longestShort, "started after %v", late.started-late.arrival)
	assert.Assert(t, long.ended != notYet && late.ended != notYet, "long work did not end")
}
