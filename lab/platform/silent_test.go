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

// TestSilentConnection guards against calls that fail because the client's pooled
// connections stopped responding. Each call must succeed on a new connection.
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

// TestSilentWatch guards against a watch that blocks forever on a connection that stopped
// responding. It must time out, and the next watch must report the change.
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
		_, _, err = c.List(ctx, kind) // lets time pass
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

// TestOutageBoundsCalls guards against clients overloading the platform in an outage:
// each client's backoff must bound its calls, however often its users call.
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
