package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/lab/faultproxy"
	lab "github.com/siskinford/siskinford/lab/platform"
)

// TestSilentConnection has the client's open connections go silent for good
// while new ones work. Each call must succeed on a fresh connection.
func TestSilentConnection(t *testing.T) {
	p := lab.New(lab.Config{})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	proxy, err := faultproxy.NewTCP(strings.TrimPrefix(server.URL, "http://"), 1)
	assert.NilError(t, err)
	t.Cleanup(proxy.Close)
	c := clientAt(t, "http://"+proxy.Addr(), nil)
	ctx := context.Background()
	written, err := c.Put(ctx, object("a", "1"))
	assert.NilError(t, err)
	calls := map[string]func() error{
		"get": func() error {
			_, err := c.Get(ctx, kind, "a")
			return err
		},
		"list": func() error {
			_, _, err := c.List(ctx, kind)
			return err
		},
		"put": func() error {
			var err error
			written, err = c.Put(ctx, objectapi.Object{Kind: kind, Name: "a", Version: written.Version})
			return err
		},
	}
	for name, call := range calls {
		_, err = c.Get(ctx, kind, "a") // leaves an idle connection
		assert.NilError(t, err)
		proxy.BlackholeExisting()
		assert.NilError(t, call(), name)
	}
	assert.Equal(t, written.Version, uint64(2))
}

// TestSilentWatch has the connection of a waiting watch go silent. The watch
// ends with an error past its bound, and the next one reports the change.
func TestSilentWatch(t *testing.T) {
	p := lab.New(lab.Config{})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	proxy, err := faultproxy.NewTCP(strings.TrimPrefix(server.URL, "http://"), 1)
	assert.NilError(t, err)
	t.Cleanup(proxy.Close)
	c := clientAt(t, "http://"+proxy.Addr(), func(cfg *objectapi.ClientConfig) {
		cfg.PollWait = 200 * time.Millisecond
		cfg.PollGrace = 200 * time.Millisecond
	})
	ctx := context.Background()
	watched := make(chan error, 1)
	go func() {
		_, _, err := c.Watch(ctx, kind, 0)
		watched <- err
	}()
	for p.Calls().ByKind[lab.CallWatch] == 0 {
		_, _, err = c.List(ctx, kind) // passes time by work
		assert.NilError(t, err)
	}
	proxy.BlackholeExisting()
	_, err = p.Store().Put(ctx, object("a", "1"))
	assert.NilError(t, err)
	var unavailable *objectapi.UnavailableError
	err = <-watched
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	objects, _, err := c.Watch(ctx, kind, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 1)
}

// TestOutageBoundsCalls has many clients call in loops through an outage. The
// calls that reach the platform are bounded by the backoff of each client.
func TestOutageBoundsCalls(t *testing.T) {
	const (
		clients   = 40
		callBound = 8
	)
	p := lab.New(lab.Config{})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	assert.NilError(t, p.SetFaults(lab.Faults{Outage: lab.OutageRefuse}))
	ctx := context.Background()
	var wg sync.WaitGroup
	for i := range clients {
		c := clientAt(t, server.URL, func(cfg *objectapi.ClientConfig) {
			cfg.Caller = fmt.Sprintf("entry-%d", i)
			cfg.Seed = uint64(i) + 1
			cfg.Backoff = objectapi.Backoff{Min: time.Hour, Max: time.Hour}
		})
		wg.Go(func() {
			for range 100 {
				_, _ = c.Get(ctx, kind, "a")
			}
		})
	}
	wg.Wait()
	assert.Assert(t, p.Calls().Total <= clients*callBound, "%d calls", p.Calls().Total)
}
