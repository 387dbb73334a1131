package platform_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
	lab "github.com/siskinford/siskinford/lab/platform"
)

const kind = "thing"

// client starts a platform and returns it with a client with short timeouts.
func client(t *testing.T, change func(*objectapi.ClientConfig)) (*lab.Platform, *objectapi.Client) {
	t.Helper()
	p := lab.New(lab.Config{})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		assert.NilError(t, p.SetFaults(lab.Faults{}))
		server.CloseClientConnections()
		server.Close()
	})
	return p, clientAt(t, server.URL, change)
}

func clientAt(t *testing.T, url string, change func(*objectapi.ClientConfig)) *objectapi.Client {
	t.Helper()
	cfg := objectapi.ClientConfig{
		BaseURL: url, Caller: "test", Seed: 1,
		PollWait:        50 * time.Millisecond,
		Backoff:         objectapi.Backoff{Min: time.Millisecond, Max: 10 * time.Millisecond},
		WritesPerSecond: 1000, ReadsPerSecond: 1000,
	}
	if change != nil {
		change(&cfg)
	}
	c, err := objectapi.NewClient(cfg)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

// TestStoreContract runs the same cases against every objectapi.Store implementation.
func TestStoreContract(t *testing.T) {
	implementations := map[string]func(t *testing.T) objectapi.Store{
		"client": func(t *testing.T) objectapi.Store {
			_, c := client(t, nil)
			return c
		},
		"memstore": func(*testing.T) objectapi.Store {
			return memstore.New(memstore.Config{PollWait: 50 * time.Millisecond})
		},
	}
	cases := map[string]func(t *testing.T, s objectapi.Store){
		"create, update, get": contractUpdate,
		"conflict":            contractConflict,
		"delete and recreate": contractDelete,
		"list and watch":      contractWatch,
	}
	for implementation, open := range implementations {
		for name, run := range cases {
			t.Run(implementation+"/"+name, func(t *testing.T) { run(t, open(t)) })
		}
	}
}

func contractUpdate(t *testing.T, s objectapi.Store) {
	ctx := context.Background()
	_, err := s.Get(ctx, kind, "a/b c")
	var notFound *objectapi.NotFoundError
	assert.Assert(t, errors.As(err, &notFound), "%v", err)
	first, err := s.Put(ctx, objectapi.Object{Kind: kind, Name: "a/b c", Value: []byte("1"), WriteID: "w1"})
	assert.NilError(t, err)
	assert.Equal(t, first.Version, uint64(1))
	first.Value = []byte("2")
	first.WriteID = "w2"
	second, err := s.Put(ctx, first)
	assert.NilError(t, err)
	assert.Assert(t, second.Revision > first.Revision)
	got, err := s.Get(ctx, kind, "a/b c")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, second)
	assert.Equal(t, string(got.Value), "2")
	assert.Equal(t, got.Name, "a/b c")
}

func contractConflict(t *testing.T, s objectapi.Store) {
	ctx := context.Background()
	put := objectapi.Object{Kind: kind, Name: "a", Value: []byte("1"), WriteID: "w1"}
	_, err := s.Put(ctx, put)
	assert.NilError(t, err)
	put.WriteID = "w2"
	for _, want := range []uint64{0, 2} {
		put.Version = want
		_, err = s.Put(ctx, put)
		var conflict *objectapi.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Current.Version, uint64(1))
		assert.Equal(t, string(conflict.Current.Value), "1")
	}
	var conflict *objectapi.ConflictError
	assert.Assert(t, errors.As(s.Delete(ctx, kind, "a", 7), &conflict))
	put.Name, put.Version = "absent", 3
	_, err = s.Put(ctx, put)
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Current.Version, uint64(0))
}

func contractDelete(t *testing.T, s objectapi.Store) {
	ctx := context.Background()
	o, err := s.Put(ctx, objectapi.Object{Kind: kind, Name: "a"})
	assert.NilError(t, err)
	assert.NilError(t, s.Delete(ctx, kind, "a", o.Version))
	var notFound *objectapi.NotFoundError
	assert.Assert(t, errors.As(s.Delete(ctx, kind, "a", o.Version), &notFound))
	changes, _, err := s.Watch(ctx, kind, o.Revision)
	assert.NilError(t, err)
	assert.Assert(t, len(changes) == 1 && changes[0].Deleted)
	again, err := s.Put(ctx, objectapi.Object{Kind: kind, Name: "a"})
	assert.NilError(t, err)
	assert.Assert(t, again.Version > o.Version, "a deletion must not reset the version")
}

func contractWatch(t *testing.T, s objectapi.Store) {
	ctx := context.Background()
	for _, name := range []string{"b", "a"} {
		_, err := s.Put(ctx, objectapi.Object{Kind: kind, Name: name})
		assert.NilError(t, err)
	}
	objects, revision, err := s.List(ctx, kind)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 2)
	assert.Equal(t, objects[0].Name, "a")
	objects, after, err := s.Watch(ctx, kind, revision)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 0)
	assert.Equal(t, after, revision)
	written := make(chan error, 1)
	go func() {
		_, err := s.Put(ctx, objectapi.Object{Kind: kind, Name: "c"})
		written <- err
	}()
	assert.NilError(t, <-written)
	objects, after, err = s.Watch(ctx, kind, revision)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 1)
	assert.Equal(t, objects[0].Name, "c")
	assert.Equal(t, after, objects[0].Revision)
}

func TestValueLimit(t *testing.T) {
	_, c := client(t, nil)
	ctx := context.Background()
	_, err := c.Put(ctx, objectapi.Object{Kind: kind, Name: "a", Value: make([]byte, objectapi.MaxValueBytes)})
	assert.NilError(t, err)
	_, err = c.Put(ctx, objectapi.Object{Kind: kind, Name: "b", Value: make([]byte, objectapi.MaxValueBytes+1)})
	var tooLarge *objectapi.ValueTooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}

func TestClientConfigValidation(t *testing.T) {
	_, err := objectapi.NewClient(objectapi.ClientConfig{BaseURL: "localhost", CallTimeout: -1})
	assert.ErrorContains(t, err, "base URL")
	assert.ErrorContains(t, err, "caller")
	assert.ErrorContains(t, err, "call timeout")
}
