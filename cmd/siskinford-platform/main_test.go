package main

import (
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPlatformProgramsStayLean checks that the programs of the platform link no
// package of the path through agents, whose memory would be paid on each host.
func TestPlatformProgramsStayLean(t *testing.T) {
	for program, unwanted := range map[string][]string{
		".":                   {"/agent/", "/entry/server", "/fleet/claim", "/fleet/configsync", "/operate/", "BurntSushi", "participle"},
		"../siskinford-relay": {"net/http", "crypto/tls", "quic-go", "/entry/", "/fleet/", "/balance/"},
	} {
		out, err := exec.Command("go", "list", "-deps", program).CombinedOutput()
		assert.NilError(t, err, "%s", out)
		for _, dep := range strings.Fields(string(out)) {
			for _, u := range unwanted {
				assert.Assert(t, !strings.Contains(dep, u), "%s links %s", program, dep)
			}
		}
	}
}
