package edge

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/direct"
	"github.com/siskinford/siskinford/entry/evacuation"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/fleet/mesh"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// evacuationLog is an evacuations that records what it brought into force.
type evacuationLog struct {
	*evacuations
	out     bytes.Buffer
	applied [][]id.Zone
	changes int
	zones   map[id.Zone]int
}

func newEvacuationLog() *evacuationLog {
	l := &evacuationLog{zones: map[id.Zone]int{"a": 2, "b": 1}}
	l.evacuations = &evacuations{
		kind: "evacuations", log: zerolog.New(&l.out),
		apply: func(list []evacuation.Zone) {
			names := []id.Zone{}
			for _, z := range list {
				names = append(names, z.Name)
			}
			l.applied = append(l.applied, names)
		},
		onChange:  func() { l.changes++ },
		members:   func() map[id.Host]id.Zone { return map[id.Host]id.Zone{"h": "c"} },
		endpoints: func() map[id.Zone]int { return l.zones },
		wait:      evacuation.Wait{Limit: maxEvacuationWait},
	}
	return l
}

// count returns how often the log contains a text. All is written with mu held.
func (l *evacuationLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.out.String(), text)
}

// inForce returns the sets that were brought into force.
func (l *evacuationLog) inForce() [][]id.Zone {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.applied)
}

func evacuationObject(name string, revision uint64) objectapi.Object {
	return objectapi.Object{Name: name, Revision: revision, Created: revision, Value: []byte(`{}`)}
}

// TestEvacuationsAreAppliedAndLogged checks that each decision of the operator comes into force once
// and has one line, and that another entry learns it.
func TestEvacuationsAreAppliedAndLogged(t *testing.T) {
	l, other := newEvacuationLog(), newEvacuationLog()
	l.replace([]objectapi.Object{evacuationObject("a", 3)}, 5)
	l.applyEvents([]objectapi.Object{evacuationObject("b", 6)}, 6)
	pending := evacuationObject("a", 3)
	pending.Deleted = true // The store sets deletionPending first.
	l.applyEvents([]objectapi.Object{pending}, 7)
	l.applyEvents([]objectapi.Object{pending}, 8)
	assert.DeepEqual(t, l.inForce(), [][]id.Zone{{"a"}, {"a", "b"}, {"b"}})
	assert.Equal(t, l.changes, 3)
	assert.Equal(t, l.count(`"event":"zone.evacuated"`), 2)
	assert.Equal(t, l.count(`"event":"zone.restored","zone":"a"`), 1)
	assert.Equal(t, l.count("zone.unknown"), 0)

	other.merge(l.encode())
	other.merge(l.encode())
	other.merge(mesh.Value{Version: 99, Data: []byte(`{`)})
	assert.DeepEqual(t, other.inForce(), [][]id.Zone{{"b"}})
	assert.Equal(t, other.version(), l.version())
	assert.Equal(t, other.count(`"source":"another entry"`), 2) // One is the rejected value.
	assert.Equal(t, other.count("evacuations.rejected"), 1)
}

// TestOddEvacuations guards against an object that cannot be read and is left out, and against a
// misspelt name that nobody notices.
func TestOddEvacuations(t *testing.T) {
	l := newEvacuationLog()
	l.replace([]objectapi.Object{{Name: "a", Unreadable: errors.New("nested too deep")}, evacuationObject("c", 2), evacuationObject("zone-x", 4)}, 5)
	assert.DeepEqual(t, l.inForce(), [][]id.Zone{{"a", "c", "zone-x"}})
	assert.Equal(t, l.count("evacuation.unreadable"), 1)
	assert.Equal(t, l.count("zone.unknown"), 1, "%s", l.out.String())
	assert.Equal(t, l.count(`"event":"zone.unknown","zone":"zone-x"`), 1)
	l.begin((*evacuation.Wait).HasEndpoints)
	l.applyEvents([]objectapi.Object{evacuationObject("b", 6)}, 6)
	assert.Equal(t, l.count("zone.unknown"), 1, "once for each evacuation")

	early := newEvacuationLog()
	zones := early.zones
	early.zones = nil
	early.replace([]objectapi.Object{evacuationObject("a", 2)}, 5)
	early.zones = zones
	early.begin((*evacuation.Wait).HasEndpoints)
	assert.Equal(t, early.count("zone.unknown"), 0, "the endpoints were not known yet")
}

// TestWaitForEvacuations checks the start of an entry: it serves with all zones 2 s after it could serve
// if nobody tells the set, and not at all before.
func TestWaitForEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newEvacuationLog()
		l.begin((*evacuation.Wait).Configured)
		time.Sleep(time.Minute)
		l.begin((*evacuation.Wait).HasEndpoints)
		assert.Assert(t, l.pending())
		time.Sleep(maxEvacuationWait - 1)
		synctest.Wait()
		assert.Assert(t, l.pending())
		assert.Equal(t, len(l.inForce()), 0)
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		assert.Assert(t, !l.pending())
		assert.DeepEqual(t, l.inForce(), [][]id.Zone{{}})
		assert.Equal(t, l.count("evacuations.unknown"), 1)
		l.replace([]objectapi.Object{evacuationObject("a", 3)}, 5)
		assert.DeepEqual(t, l.inForce()[1], []id.Zone{"a"})

		told := newEvacuationLog()
		told.begin((*evacuation.Wait).Configured)
		told.begin((*evacuation.Wait).HasEndpoints)
		told.merge(l.encode())
		assert.Assert(t, !told.pending())
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.DeepEqual(t, told.inForce(), [][]id.Zone{{"a"}}) // The end of the wait takes nothing back.
	})
}

// newTestEdge returns an entry that is not started.
func newTestEdge(t *testing.T, kind string, delay time.Duration) *Edge {
	t.Helper()
	a := Adapter{
		ConfigKind: "config", ConfigName: "main", EndpointKind: "endpoints", EvacuationKind: kind,
		DecodeConfig: func([]byte) (routes.Config, error) { return routes.Config{Version: 1}, nil },
		DecodeEndpoint: func(name string, _ []byte) (direct.Endpoint, error) {
			return direct.Endpoint{Name: id.Endpoint(name), Zone: "a", Address: "127.0.0.1:1"}, nil
		},
	}
	e, err := New(Config{
		Host: "h", Zone: "c", ClientListen: "127.0.0.1:0", ReadinessListen: "127.0.0.1:0", PeerListen: netip.MustParseAddrPort("127.0.0.1:1"),
		StoreAddress: "127.0.0.1:1", EvacuationDelay: delay, RetryBudget: retry.WindowConfig{Length: time.Second},
	}, a, zerolog.Nop(), metrics.NewSet())
	assert.NilError(t, err)
	return e
}

func (e *Edge) kinds() []string {
	var out []string
	for _, w := range e.watchers {
		out = append(out, w.kind)
	}
	return out
}

// TestEvacuationsAreOptIn guards against deployments without evacuations that list a kind which
// their store does not have, or that are not ready for want of it.
func TestEvacuationsAreOptIn(t *testing.T) {
	for _, e := range []*Edge{newTestEdge(t, "", time.Second), newTestEdge(t, "evacuations", 0)} {
		assert.DeepEqual(t, e.kinds(), []string{"config", "endpoints"})
		e.values.applyConfigObjects([]objectapi.Object{object("main", `{}`, 1)})
		assert.Equal(t, e.notReady(), "")
		_, offered := e.versions()[topicEvacuations]
		assert.Assert(t, !offered)
	}
	cfg := newTestEdge(t, "", 0).cfg
	cfg.EvacuationDelay = -1
	assert.ErrorContains(t, cfg.Validate().Err(), "evacuation delay")
}

// TestReadinessAwaitsEvacuations guards against an entry that is told clients before it knows which
// zones are out.
func TestReadinessAwaitsEvacuations(t *testing.T) {
	e := newTestEdge(t, "evacuations", 5*time.Second)
	assert.DeepEqual(t, e.kinds(), []string{"config", "endpoints", "evacuations"})
	ready := func() int {
		w := httptest.NewRecorder()
		e.serveReady(w, nil)
		return w.Code
	}
	list := func() (int, string) {
		w := httptest.NewRecorder()
		e.serveEvacuations(w, nil)
		return w.Code, w.Body.String()
	}
	e.values.applyConfigObjects([]objectapi.Object{object("main", `{}`, 1)})
	e.values.replaceEndpoints([]objectapi.Object{object("x", `{}`, 1)}, 2)
	assert.Equal(t, ready(), http.StatusServiceUnavailable)
	code, _ := list()
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Equal(t, e.versions()[topicEvacuations], uint64(0))
	e.applyValue(topicEvacuations, mesh.Value{Version: 9, Data: []byte(`[{"zone":"a","revision":7,"since":"2026-01-02T03:04:05Z"},{"zone":"odd","revision":8}]`)})
	assert.Equal(t, ready(), http.StatusOK)
	assert.Equal(t, e.versions()[topicEvacuations], uint64(9))
	assert.Equal(t, e.encodeValue(topicEvacuations, 0).Version, uint64(9))
	code, body := list()
	assert.Equal(t, code, http.StatusOK)
	var rows []evacuatedZone
	for _, line := range strings.Split(strings.TrimSpace(body), "\n") {
		var row evacuatedZone
		assert.NilError(t, json.Unmarshal([]byte(line), &row))
		rows = append(rows, row)
	}
	since := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	assert.DeepEqual(t, rows, []evacuatedZone{
		{Zone: evacuation.Zone{Name: "a", Revision: 7, Since: since}, Known: true, Endpoints: 1},
		{Zone: evacuation.Zone{Name: "odd", Revision: 8}},
	})
}
