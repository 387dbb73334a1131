package engine_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	client "github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/lab/engine"
)

// cpuTime returns the CPU time of the process in seconds.
func cpuTime(b *testing.B) float64 {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}

// BenchmarkStream reports the CPU time of engine and client together per streamed
// token, with four concurrent sequences.
func BenchmarkStream(b *testing.B) {
	const tokens = 512
	e := engine.New(engine.Config{})
	s := serve(b, e)
	before := cpuTime(b)
	for i := 0; b.Loop(); i++ {
		var calls sync.WaitGroup
		for lane := range 4 {
			calls.Go(func() {
				attempt := id.Attempt(fmt.Sprintf("att_%d_%d", i, lane))
				_, err := s.client.Run(s.ctx, client.Request{Attempt: attempt, Prompt: "mark=x", MaxTokens: tokens}, func(client.Token) error { return nil })
				assert.Check(b, err == nil, "%v", err)
			})
		}
		calls.Wait()
	}
	b.ReportMetric(1e9*(cpuTime(b)-before)/float64(b.N)/tokens/4, "cpu-ns/token")
}
