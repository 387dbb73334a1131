package slopes

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func smallConfig() Config {
	c := Default()
	c.Nodes = []int{4}
	c.ZoneSize = 4
	c.Changes = 2
	c.Settle = 3 * time.Second
	c.Window = 2 * time.Second
	c.Outage = time.Second
	c.Rounds = 1
	c.Endpoints, c.Teams, c.Services = 20, 20, 4
	return c
}

// All steps but wire, which uses real sockets, run in virtual time.
func TestStepsMeasureSmallFleet(t *testing.T) {
	defer goleak.VerifyNone(t)
	var r Result
	for _, s := range steps() {
		run := func(t *testing.T) { assert.NilError(t, s.run(t.Context(), smallConfig(), &r)) }
		if s.name == "wire" {
			t.Run(s.name, run)
			continue
		}
		t.Run(s.name, func(t *testing.T) { synctest.Test(t, run) })
	}
	assert.Equal(t, len(r.Propagation), 7)
	for _, s := range r.Propagation {
		assert.Equal(t, s.Missed, 0, "%+v", s)
		assert.Assert(t, s.InForceMax > 0, "%+v", s)
	}
	assert.Equal(t, len(r.Membership), 1)
	assert.Assert(t, r.Membership[0].SentMean > 0)
	assert.Equal(t, len(r.Detection), len(faults()))
	assert.Assert(t, r.Detection[0].SuspectAll > 0, "%+v", r.Detection[0])
	assert.Equal(t, len(r.Outage), 2)
	for _, rows := range []int{len(r.Memory), len(r.Sizes), len(r.Apply), len(r.Wire)} {
		assert.Assert(t, rows > 2)
	}
	for _, w := range r.Wire {
		assert.Assert(t, w.Bytes > packetHeaders || w.Operation == "second of an idle connection without probes", "%+v", w)
	}
	var text bytes.Buffer
	assert.NilError(t, json.NewEncoder(&text).Encode(r))
	var back Result
	assert.NilError(t, json.Unmarshal(text.Bytes(), &back))
	assert.DeepEqual(t, back, r)
}

func TestValidateReportsAllFindings(t *testing.T) {
	err := Config{Loss: 1}.Validate()
	for _, want := range []string{"nodes:", "zone_size:", "changes:", "rounds:", "loss: must be at least 0 and less than 1, not 1"} {
		assert.ErrorContains(t, err, want)
	}
}
