package direct

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/entry/routes"
)

// fragileBackends returns n backends that crash on the part "deadly".
func fragileBackends(t *testing.T, n int) []*backend {
	out := make([]*backend, n)
	for i := range out {
		out[i] = newFragileBackend(t, fmt.Sprintf("b%d", i), "deadly")
	}
	return out
}

// TestDeadlyPartEndsFewEndpoints guards against a part of prompts that ends one endpoint after
// the other: by the retries of a request, and by further requests with the part.
func TestDeadlyPartEndsFewEndpoints(t *testing.T) {
	backends := fragileBackends(t, 8)
	e := newEntry(t, routes.Route{Kind: routes.Streaming, MaxAttempts: 2, Resumable: true}, backends...)
	for i := range 8 {
		assert.Equal(t, e.send(http.MethodPost, "Parts: shared").status, http.StatusOK)
		r := e.send(http.MethodPost, "Parts: shared deadly", fmt.Sprintf("Request: d%d", i))
		assert.Assert(t, r.status != http.StatusOK, "%v", r)
	}
	assert.Assert(t, crashedOf(backends) <= 2, "%d endpoints ended", crashedOf(backends))
	for range 20 {
		assert.Equal(t, e.send(http.MethodPost, "Parts: shared").status, http.StatusOK)
	}
}

// TestBlockedPartIsRefusedWithItsOutcome checks what the callers of a harmful part are told: the
// one under whose request the endpoint ended that it may have run, the next that it has not run,
// and none of them when to come back.
func TestBlockedPartIsRefusedWithItsOutcome(t *testing.T) {
	backends := fragileBackends(t, 3)
	e := newEntry(t, routes.Route{Kind: routes.Streaming, MaxAttempts: 2, Resumable: true}, backends...)
	first := e.send(http.MethodPost, "Parts: deadly")
	assert.Equal(t, first.status, http.StatusBadGateway, "%v", first)
	next := e.send(http.MethodPost, "Parts: deadly") // Waits for other entries to vouch for the part.
	assert.Equal(t, next.status, http.StatusServiceUnavailable, "%v", next)
	assert.Equal(t, next.header.Get("Retry-After"), "")
	next = e.send(http.MethodPost, "Parts: deadly")
	assert.Equal(t, next.status, http.StatusServiceUnavailable, "%v", next)
	assert.Assert(t, next.took < 200*time.Millisecond, "%v", next.took)
	assert.Equal(t, crashedOf(backends), 1)
	sent := 0
	for _, b := range backends {
		sent += len(b.requests())
	}
	assert.Equal(t, sent, 1, "the request was repeated")
}

// TestPartThatEndsEndpointsAtTimesIsBlocked guards against a part that ends endpoints before the head of an answer, with
// every second request, and is not blocked until a further endpoint ends.
func TestPartThatEndsEndpointsAtTimesIsBlocked(t *testing.T) {
	var with atomic.Int64 // Requests with the part.
	backends := make([]*backend, 5)
	for i := range backends {
		backends[i] = newBackend(t, fmt.Sprintf("b%d", i), func(n int, w http.ResponseWriter, r *http.Request) {
			if !slices.Contains(strings.Fields(r.Header.Get("Parts")), "seldom") || with.Add(1)%2 == 1 {
				events(2, 0, 0)(n, w, r)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			go backends[i].crash()
			<-r.Context().Done()
		})
	}
	e := newEntry(t, routes.Route{Kind: routes.Streaming}, backends...)
	const harmful = 3
	for i := range harmful {
		for j := range 40 {
			assert.Equal(t, e.send(http.MethodPost, fmt.Sprintf("Parts: shared sound%d", 40*i+j)).status, http.StatusOK)
		}
		for range 2 {
			e.send(http.MethodPost, "Parts: shared seldom")
		}
	}
	assert.Equal(t, crashedOf(backends), harmful)
	assert.Equal(t, int(with.Load()), 2*harmful)
	p := e.handler.Service("s").quarantine
	time.Sleep(2*p.table.SettleTime() + 200*time.Millisecond)
	r := e.send(http.MethodPost, "Parts: shared seldom")
	assert.Equal(t, r.status, http.StatusServiceUnavailable, "%v", r)
	assert.Equal(t, e.send(http.MethodPost, "Parts: shared").status, http.StatusOK)
	assert.Equal(t, int(with.Load()), 2*harmful)
}

// exchangeQuarantine sends what one entry knows to another, as entries do.
func exchangeQuarantine(t *testing.T, from, to *entry) {
	t.Helper()
	data, err := cbor.Marshal(from.handler.EncodeQuarantine())
	assert.NilError(t, err)
	var records QuarantineRecords
	assert.NilError(t, cbor.Unmarshal(data, &records))
	to.handler.ApplyQuarantine(records)
}

// TestEntriesShareBlockedParts guards against a part that ends an endpoint once for each entry,
// and against sound parts that stay blocked although another entry has answers to them.
func TestEntriesShareBlockedParts(t *testing.T) {
	backends := fragileBackends(t, 4)
	route := routes.Route{Kind: routes.Streaming, MaxAttempts: 2, Resumable: true}
	a, b := newEntry(t, route, backends...), newEntry(t, route, backends...)
	assert.Equal(t, b.send(http.MethodPost, "Parts: shared").status, http.StatusOK)
	assert.Equal(t, a.send(http.MethodPost, "Parts: shared deadly").status, http.StatusBadGateway)
	exchangeQuarantine(t, a, b) // Both parts are blamed; b has an answer to one.
	exchangeQuarantine(t, b, a)
	assert.Equal(t, a.send(http.MethodPost, "Parts: shared").status, http.StatusOK)
	assert.Equal(t, b.send(http.MethodPost, "Parts: shared").status, http.StatusOK)
	assert.Equal(t, b.send(http.MethodPost, "Parts: other deadly").status, http.StatusServiceUnavailable)
	assert.Equal(t, crashedOf(backends), 1)
}

// TestEndOfOtherCauseBlocksNoPart guards against parts that stay suspected of an end with which
// they have nothing to do: the next request with the part is the trial that clears it.
func TestEndOfOtherCauseBlocksNoPart(t *testing.T) {
	var a *backend
	a = newBackend(t, "a", func(_ int, _ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		go a.crash() // Without the head of an answer.
		<-r.Context().Done()
	})
	e := newEntry(t, routes.Route{Kind: routes.Streaming, MaxAttempts: 2, Resumable: true}, a)
	b := newBackend(t, "b", events(3, 0, 5*time.Millisecond))
	e.handler.SetEndpoints([]Endpoint{a.endpoint("s"), b.endpoint("s")})
	e.handler.Service("s").MarkUnreachable("b") // Only to have a chosen first.
	first := e.send(http.MethodPost, "Parts: sound")
	assert.Equal(t, first.status, http.StatusOK, "%v", first)
	assert.Assert(t, a.crashed.Load())
	assert.Equal(t, e.send(http.MethodPost, "Parts: sound").status, http.StatusOK)
	assert.Equal(t, len(b.requests()), 2)
}

// TestBrokenConnectionOfLivingEndpointBlamesNoPart guards against blame for connections that are
// reset by endpoints that live on.
func TestBrokenConnectionOfLivingEndpointBlamesNoPart(t *testing.T) {
	a := newBackend(t, "a", func(n int, w http.ResponseWriter, r *http.Request) {
		if n%2 == 1 {
			w.Header().Set("Signed", "yes")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		events(3, 0, 0)(n, w, r)
	})
	e := newEntry(t, routes.Route{Kind: routes.Streaming, MaxAttempts: 2, Resumable: true}, a)
	for range 3 {
		e.send(http.MethodPost, "Parts: sound")
	}
	assert.Equal(t, len(e.handler.EncodeQuarantine()), 0)
}

// TestRunningRequestWithBlockedPartIsEnded guards against further ends by requests that were
// already sent when the first end showed that their part is harmful.
func TestRunningRequestWithBlockedPartIsEnded(t *testing.T) {
	a := newBackend(t, "a", hang)
	e := newEntry(t, routes.Route{Kind: routes.Streaming, MaxAttempts: 2, Resumable: true}, a)
	done := make(chan reply)
	go func() { done <- e.send(http.MethodPost, "Parts: deadly") }()
	deadline := time.Now().Add(5 * time.Second)
	for len(a.requests()) == 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	other := newEntry(t, routes.Route{Kind: routes.Streaming, MaxAttempts: 1}, fragileBackends(t, 1)...)
	other.send(http.MethodPost, "Parts: deadly")
	exchangeQuarantine(t, other, e)
	r := <-done
	assert.Equal(t, r.status, http.StatusBadGateway, "%v", r)
	assert.Assert(t, r.took < 3*time.Second, "%v", r.took)
}

// TestOperatorBlocksAndFreesPart checks that an operator's word holds at all entries, against
// answers too, until it is taken back.
func TestOperatorBlocksAndFreesPart(t *testing.T) {
	b := newBackend(t, "b", events(3, 0, 0))
	a, other := newEntry(t, stream, b), newEntry(t, stream, b)
	assert.Equal(t, other.send(http.MethodPost, "Parts: p").status, http.StatusOK)
	assert.NilError(t, a.handler.BlockPart("s", "p"))
	exchangeQuarantine(t, a, other)
	exchangeQuarantine(t, other, a)
	for _, e := range []*entry{a, other} {
		assert.Equal(t, e.send(http.MethodPost, "Parts: p").status, http.StatusServiceUnavailable)
		list := e.handler.Quarantine()
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].State, "blocked")
		assert.Assert(t, list[0].ByOperator)
	}
	assert.NilError(t, other.handler.FreePart("s", "p"))
	exchangeQuarantine(t, other, a)
	assert.Equal(t, a.send(http.MethodPost, "Parts: p").status, http.StatusOK)
	assert.ErrorContains(t, a.handler.FreePart("s", "unknown"), "unknown")
	assert.ErrorContains(t, a.handler.BlockPart("none", "p"), "none")
}
