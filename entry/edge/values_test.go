package edge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/direct"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/fleet/mesh"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// applied records what its values brought into force.
type applied struct {
	*values
	table     *routes.Table
	endpoints map[id.Endpoint]direct.Endpoint
	changes   int
}

func newApplied() *applied {
	a := &applied{}
	a.values = &values{
		log: zerolog.Nop(),
		adapter: Adapter{
			ConfigName: "main",
			DecodeConfig: func(data []byte) (routes.Config, error) {
				var c struct{ Version uint64 }
				err := json.Unmarshal(data, &c)
				return routes.Config{Version: c.Version}, err
			},
			DecodeEndpoint: func(name string, data []byte) (direct.Endpoint, error) {
				var e struct {
					Address  string
					Draining bool
					ColdMs   int
				}
				if err := json.Unmarshal(data, &e); err != nil {
					return direct.Endpoint{}, err
				}
				if e.Address == "" {
					return direct.Endpoint{}, errors.New("no address")
				}
				return direct.Endpoint{Name: id.Endpoint(name), Address: e.Address, Draining: e.Draining, WarmupRemaining: time.Duration(e.ColdMs) * time.Millisecond}, nil
			},
		},
		onChange: func() {},
		onConfig: func(t *routes.Table) { a.table = t },
		onEndpoints: func(list []direct.Endpoint) {
			a.changes++
			a.endpoints = make(map[id.Endpoint]direct.Endpoint)
			for _, e := range list {
				a.endpoints[e.Name] = e
			}
		},
	}
	return a
}

func object(name, value string, revision uint64) objectapi.Object {
	return objectapi.Object{Name: name, Value: []byte(value), Revision: revision, Created: revision}
}

func TestVersionsNeverDecrease(t *testing.T) {
	a := newApplied()
	a.applyConfigObjects([]objectapi.Object{object("other", `{"version":9}`, 1), object("main", `{"version":5}`, 1)})
	assert.Equal(t, a.table.Version(), uint64(5))
	a.apply(topicConfig, mesh.Value{Version: 4, Data: []byte(`{"version":4}`)})
	assert.Equal(t, a.table.Version(), uint64(5))
	a.applyConfigObjects([]objectapi.Object{object("main", `{"version":"x"}`, 2)})
	assert.Equal(t, a.table.Version(), uint64(5), "the last good configuration stays")
	deleted := object("main", `{"version":7}`, 3)
	deleted.Deleted = true
	a.applyConfigObjects([]objectapi.Object{deleted})
	assert.Equal(t, a.table.Version(), uint64(5))
	a.apply(topicConfig, mesh.Value{Version: 6, Data: []byte(`{"version":6}`)})
	assert.Equal(t, a.table.Version(), uint64(6))
	assert.Equal(t, a.versions()[topicConfig], uint64(6))
}

func TestEndpointsFollowListAndWatch(t *testing.T) {
	a := newApplied()
	a.replaceEndpoints([]objectapi.Object{object("a", `{"address":"1"}`, 3), object("b", `{"address":"2"}`, 4), object("c", `{}`, 4)}, 5)
	assert.Equal(t, len(a.endpoints), 2, "a registration that cannot be read is left out")
	a.applyEndpointEvents([]objectapi.Object{object("b", `{"address":"2","draining":true}`, 6), object("d", `{"address":"4"}`, 7)}, 7)
	assert.Assert(t, a.endpoints["b"].Draining)
	assert.Equal(t, a.endpoints["d"].RegistrationRevision, uint64(7))
	gone := object("a", ``, 8)
	gone.Deleted = true
	a.applyEndpointEvents([]objectapi.Object{gone}, 8)
	assert.Equal(t, len(a.endpoints), 2)
	a.replaceEndpoints([]objectapi.Object{object("a", `{"address":"1"}`, 3)}, 6)
	assert.Equal(t, len(a.endpoints), 2, "an older list changes nothing")
	before := a.changes
	a.applyEndpointEvents(nil, 9)
	assert.Equal(t, a.changes, before, "a watch without events changes nothing")
	assert.Equal(t, a.versions()[topicEndpoints], uint64(8), "others need not fetch what has not changed")
	a.apply(topicEndpoints, mesh.Value{Version: 9, Data: []byte(`{"all":{"x":{"value":{"address":"9"}}}}`)})
	assert.Equal(t, len(a.endpoints), 2, "it is known up to there")
	a.apply(topicEndpoints, mesh.Value{Version: 10, Data: []byte(`{"all":{"x":{"value":{"address":"9"}}}}`)})
	assert.Equal(t, len(a.endpoints), 1)
}

// TestRemovalWithRevisionOfLastWrite guards against a removal that is taken for an event that a list
// includes, as the store sends the removed object as it was last written.
func TestRemovalWithRevisionOfLastWrite(t *testing.T) {
	a := newApplied()
	a.replaceEndpoints([]objectapi.Object{object("a", `{"address":"1"}`, 3), object("b", `{"address":"2"}`, 4)}, 8)
	gone := object("a", `{"address":"1"}`, 3)
	gone.Deleted = true
	a.applyEndpointEvents([]objectapi.Object{gone}, 9)
	assert.Equal(t, len(a.endpoints), 1)
	// The removal of a registration before the one that is known.
	a.apply(topicEndpoints, mesh.Value{Version: 20, Data: []byte(`{"all":{"a":{"created":15,"value":{"address":"1"}}}}`)})
	a.applyEndpointEvents([]objectapi.Object{gone}, 21)
	assert.Equal(t, len(a.endpoints), 1)
}

// TestEndpointsFromAnotherEntry covers an entry that the platform refuses to serve: it
// uses another entry's list and skips older events that the list already includes.
func TestEndpointsFromAnotherEntry(t *testing.T) {
	a, b := newApplied(), newApplied()
	a.replaceEndpoints([]objectapi.Object{object("a", `{"address":"1"}`, 3)}, 8)
	b.apply(topicEndpoints, a.encode(topicEndpoints, 0))
	assert.Equal(t, b.endpoints["a"].Address, "1")
	b.applyEndpointEvents([]objectapi.Object{object("a", `{"address":"old"}`, 2), object("b", `{"address":"2"}`, 9)}, 9)
	assert.Equal(t, b.endpoints["a"].Address, "1")
	assert.Equal(t, b.endpoints["b"].Address, "2")
}

func TestUnusableUpdatesAreIgnored(t *testing.T) {
	a := newApplied()
	a.replaceEndpoints([]objectapi.Object{object("a", `{"address":"1"}`, 3)}, 8)
	a.apply(topicEndpoints, mesh.Value{Version: 9, Data: []byte(`[`)})
	assert.Equal(t, len(a.endpoints), 1)
	a.apply(topicEndpoints, mesh.Value{Version: 10, Data: []byte(`null`)})
	a.applyEndpointEvents([]objectapi.Object{object("b", `{"address":"2"}`, 11)}, 11)
	assert.Equal(t, a.endpoints["b"].Address, "2")
	assert.Equal(t, a.endpoints["a"].Address, "1")
}

// TestUpdatesCarryOnlyChanges covers a rollout that replaces the endpoints of a large
// service one by one: an entry that is slightly behind must not get the whole list.
func TestUpdatesCarryOnlyChanges(t *testing.T) {
	a, b := newApplied(), newApplied()
	var list []objectapi.Object
	for i := range 200 {
		list = append(list, object(fmt.Sprintf("e%d", i), `{"address":"1"}`, 3))
	}
	a.replaceEndpoints(list, 5)
	whole := a.encode(topicEndpoints, b.versions()[topicEndpoints])
	b.apply(topicEndpoints, whole)
	assert.Equal(t, len(b.endpoints), 200)

	gone := object("e7", ``, 8)
	gone.Deleted = true
	a.applyEndpointEvents([]objectapi.Object{object("new", `{"address":"2"}`, 7), gone}, 8)
	part := a.encode(topicEndpoints, b.versions()[topicEndpoints])
	assert.Assert(t, len(part.Data) < len(whole.Data)/20, "%d of %d bytes", len(part.Data), len(whole.Data))
	b.apply(topicEndpoints, part)
	assert.DeepEqual(t, b.endpoints, a.endpoints)
	assert.Equal(t, b.versions()[topicEndpoints], a.versions()[topicEndpoints])

	// b forwards what it received, and its own watch continues at a's revision.
	c := newApplied()
	c.apply(topicEndpoints, whole)
	c.apply(topicEndpoints, b.encode(topicEndpoints, c.versions()[topicEndpoints]))
	assert.DeepEqual(t, c.endpoints, a.endpoints)
	b.applyEndpointEvents([]objectapi.Object{object("new", `{"address":"2"}`, 7), object("e8", `{"address":"3"}`, 9)}, 9)
	assert.Equal(t, b.endpoints["e8"].Address, "3")

	// An entry that is too far behind gets the whole list.
	for i := range 2 * maxChanges {
		a.applyEndpointEvents([]objectapi.Object{object("new", fmt.Sprintf(`{"address":"%d"}`, i), uint64(10+i))}, uint64(10+i))
	}
	c.apply(topicEndpoints, a.encode(topicEndpoints, c.versions()[topicEndpoints]))
	assert.DeepEqual(t, c.endpoints, a.endpoints)
}

// TestVersionsAgreeAfterUpdate guards against an entry that stays behind because the
// update it received had the same content under a later version.
func TestVersionsAgreeAfterUpdate(t *testing.T) {
	a, b := newApplied(), newApplied()
	a.replaceEndpoints([]objectapi.Object{object("a", `{"address":"1"}`, 3)}, 8)
	b.replaceEndpoints([]objectapi.Object{object("a", `{"address":"1"}`, 3)}, 50)
	a.apply(topicEndpoints, b.encode(topicEndpoints, 8))
	assert.Equal(t, a.versions()[topicEndpoints], uint64(50), "the same content under a later version")
	a.applyEndpointEvents(nil, 70)
	c := newApplied()
	c.replaceEndpoints([]objectapi.Object{object("a", `{"address":"1"}`, 3)}, 60)
	before := a.changes
	a.apply(topicEndpoints, c.encode(topicEndpoints, 50))
	assert.Equal(t, a.versions()[topicEndpoints], uint64(60), "it is known up to 70")
	assert.Equal(t, a.changes, before)
}

// TestUnreadableRegistrationKeepsLast guards against a registration that another writer made
// unreadable: the endpoint keeps its last one, others change, and each reason is logged once.
func TestUnreadableRegistrationKeepsLast(t *testing.T) {
	a := newApplied()
	var out bytes.Buffer
	a.log = zerolog.New(&out)
	a.adapter.EndpointKind = "servers"
	odd := objectapi.Object{Name: "a", Unreadable: errors.New("nested too deep")}
	a.replaceEndpoints([]objectapi.Object{object("a", `{"address":"1"}`, 1), object("b", `{"address":"2"}`, 1), object("bad", `{}`, 1)}, 1)
	a.applyEndpointEvents([]objectapi.Object{odd, object("b", `{"address":"3"}`, 2)}, 2)
	assert.Equal(t, a.endpoints["a"].Address, "1")
	assert.Equal(t, a.endpoints["b"].Address, "3")
	stranger := odd
	stranger.Name = "c"
	a.replaceEndpoints([]objectapi.Object{odd, stranger, object("b", `{"address":"4"}`, 3), object("bad", `{}`, 1)}, 3)
	assert.Equal(t, a.endpoints["a"].Address, "1")
	assert.Equal(t, a.endpoints["b"].Address, "4")
	assert.Equal(t, len(a.endpoints), 2)
	assert.Equal(t, strings.Count(out.String(), "endpoint.rejected"), 3, "%s", out.String())
	assert.Equal(t, strings.Count(out.String(), "servers/bad"), 1)
	removed := odd
	removed.Deleted = true
	a.applyEndpointEvents([]objectapi.Object{removed}, 4)
	assert.Equal(t, len(a.endpoints), 1)
}

// TestColdTimeCountsFromReading guards against an endpoint that stays cold because each change of the
// list counts its cold time anew.
func TestColdTimeCountsFromReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newApplied(), newApplied()
		cold := object("a", `{"address":"1","coldMs":3000}`, 3)
		a.replaceEndpoints([]objectapi.Object{cold}, 5)
		read := time.Now()
		time.Sleep(time.Second)
		a.applyEndpointEvents([]objectapi.Object{object("b", `{"address":"2"}`, 7)}, 7)
		assert.Equal(t, a.endpoints["a"].ReadAt, read)
		a.replaceEndpoints([]objectapi.Object{cold}, 8)
		assert.Equal(t, a.endpoints["a"].ReadAt, read)
		assert.Assert(t, a.endpoints["b"].ReadAt.IsZero(), "it is not cold")

		b.apply(topicEndpoints, a.encode(topicEndpoints, 0))
		assert.Equal(t, b.endpoints["a"].ReadAt, time.Now(), "another entry counts from its own reading")

		time.Sleep(time.Second)
		a.applyEndpointEvents([]objectapi.Object{object("a", `{"address":"1","coldMs":3000,"sequence":2}`, 9)}, 9)
		assert.Equal(t, a.endpoints["a"].ReadAt, time.Now(), "it is written anew")
	})
}
