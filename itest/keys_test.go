package itest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/lab/procs"
	"github.com/siskinford/siskinford/wire/keys"
)

// TestKeysRotateUnderLoad replaces the certificate authority of a running fleet in
// three steps under load, then forces a reconnect with the new keys.
func TestKeysRotateUnderLoad(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 2, ModelEndpoints: 1, KeyDir: t.TempDir(), EngineArgs: []string{"--step-time=1ms"}})
	caller := newClient()
	stop, failed := make(chan struct{}), make(chan answer, 1)
	go func() {
		defer close(failed)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			if a := caller.chat(ctx, c.Entries[i%2], "m", 3, false); a.Err != nil || a.Outcome != outcome.Ran {
				failed <- a
				return
			}
		}
	}()
	next, err := keys.NewAuthority(time.Hour)
	assert.NilError(t, err)
	for step, write := range []func() error{
		func() error { return c.WriteKeys(c.Authority(), c.Authority(), next) },
		func() error { return c.WriteKeys(next, c.Authority(), next) },
		func() error { return c.WriteKeys(next, next) },
	} {
		assert.NilError(t, write())
		assert.NilError(t, c.ReloadKeys(ctx, "keys.reloaded", step+1))
	}
	// A malformed key file fails the reload and leaves the former keys in use.
	file := filepath.Join(c.KeyDir(), "entry-entry-0.key")
	assert.NilError(t, os.WriteFile(file, []byte("-----BEGIN broken"), 0o600))
	c.Entries[0].ReloadKeys()
	assert.NilError(t, c.Entries[0].Process.AwaitEvents(ctx, "keys.reload_failed", 1))

	close(stop)
	if a, lost := <-failed; lost {
		t.Fatalf("a request failed: %v %s", a.Err, a.Body)
	}
	c.Endpoints[0].Proxy.BlackholeExisting()
	await(ctx, t, "new connections use the new keys", func() bool {
		a := caller.chat(ctx, c.Entries[1], "m", 3, false)
		return a.Outcome == outcome.Ran
	})
	out := operate(ctx, t, c, c.Entries[1], process.ExitOK, "query", "configurations")
	assert.Assert(t, strings.Contains(out, "entry-1"), out)
}

// TestOutdatedKeysAreRefused starts an entry with keys of a certificate authority
// that the rest of the fleet no longer trusts.
func TestOutdatedKeysAreRefused(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 2, ModelEndpoints: 1, KeyDir: t.TempDir(), NoProxy: true})
	caller := newClient()
	next, err := keys.NewAuthority(time.Hour)
	assert.NilError(t, err)
	former := c.Entries[0]
	former.Process.Kill()
	assert.NilError(t, c.WriteKeys(next, next))
	c.Entries[1].ReloadKeys()
	assert.NilError(t, c.Entries[1].Process.AwaitEvents(ctx, "keys.reloaded", 1))
	c.Endpoints[0].ReloadKeys()
	assert.NilError(t, c.Endpoints[0].Agent.AwaitEvents(ctx, "keys.reloaded", 1))
	assert.NilError(t, c.WriteKeys(c.Authority(), c.Authority(), next))
	assert.NilError(t, c.RestartEntry(ctx, former))
	assert.NilError(t, procs.AwaitReady(ctx, former.OperatorURL))
	assert.Equal(t, caller.chat(ctx, former, "m", 3, false).Outcome, outcome.NotRun)
	assert.Equal(t, caller.chat(ctx, c.Entries[1], "m", 3, false).Outcome, outcome.Ran)
}
