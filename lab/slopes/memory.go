package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/configsync"
	"github.com/siskinford/siskinford/fleet/member"
)

// sampleTime is the timestamp in sample values.
var sampleTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// endpointSet returns a configuration of n endpoints over ten zones.
func endpointSet(n int) config.EndpointSet {
	var set config.EndpointSet
	for i := range n {
		set.Endpoints = append(set.Endpoints, config.Endpoint{
			Name:    id.Endpoint(fmt.Sprintf("endpoint-%04d", i)),
			Service: id.Service(fmt.Sprintf("service-%02d", i%32)),
			Host:    id.Host(fmt.Sprintf("agent-%04d", i)),
			Zone:    id.Zone(fmt.Sprintf("zone-%d", i%10)),
			Region:  id.Region(fmt.Sprintf("region-%d", i%4)),
			Address: fmt.Sprintf("10.1.%d.%d:7500", i/250, i%250+1),
		})
	}
	return set
}

// teamSet returns a configuration of n teams with two keys each.
func teamSet(n int) config.TeamSet {
	var set config.TeamSet
	for i := range n {
		set.Teams = append(set.Teams, config.Team{
			Name:            id.Team(fmt.Sprintf("team-%03d", i)),
			KeyHashes:       []string{config.HashKey(fmt.Sprint("a", i)), config.HashKey(fmt.Sprint("b", i))},
			TokensPerSecond: 3000,
		})
	}
	return set
}

// serviceSet returns a configuration of n model services.
func serviceSet(n int) config.ServiceSet {
	var set config.ServiceSet
	for i := range n {
		set.Services = append(set.Services, config.Service{
			Name:  id.Service(fmt.Sprintf("service-%02d", i)),
			Type:  config.ServiceTypeModel,
			Model: fmt.Sprintf("model-%02d", i),
		})
	}
	return set
}

func envelope(set any) ([]byte, error) {
	value, err := json.Marshal(set)
	if err != nil {
		return nil, err
	}
	return json.Marshal(config.Envelope{Writer: "operator", WrittenAt: sampleTime, Value: value})
}

// measureMemory measures the heap per object of the control state.
func measureMemory(_ context.Context, c Config, r *Result) error {
	snapshots := []struct {
		object string
		kind   config.Kind
		count  int
		set    any
	}{
		{"endpoint in a configuration snapshot", config.KindEndpoints, c.Endpoints, endpointSet(c.Endpoints)},
		{"team in a configuration snapshot", config.KindTeams, c.Teams, teamSet(c.Teams)},
		{"service in a configuration snapshot", config.KindServices, c.Services, serviceSet(c.Services)},
	}
	for _, s := range snapshots {
		value, err := envelope(s.set)
		if err != nil {
			return err
		}
		var applyErr error
		r.Memory = append(r.Memory, heapOf(s.object, s.count, func() any {
			h := configsync.NewSnapshotApplier(nil)
			applyErr = h.Apply(s.kind, 1, append([]byte(nil), value...))
			return h
		}))
		if applyErr != nil {
			return applyErr
		}
	}
	r.Memory = append(r.Memory,
		heapOf("peer of the own zone in a membership table", c.ZoneSize, func() any { return membershipTable(c.ZoneSize, 0) }),
		heapOf("other zone in a membership table", otherZones, func() any { return membershipTable(0, otherZones) }),
	)
	return nil
}

// heapCopies is the number of copies over which heapOf averages.
const heapCopies = 50

// heapOf measures the heap of the state that build returns, per object in it.
func heapOf(object string, count int, build func() any) HeapCost {
	before := liveHeapBytes()
	states := make([]any, heapCopies)
	for i := range states {
		states[i] = build()
	}
	used := liveHeapBytes() - before
	runtime.KeepAlive(states)
	return HeapCost{Object: object, Count: count, Bytes: used / heapCopies / float64(count)}
}

// otherZones is the number of remote zones.
const otherZones = 9

// membershipTable returns a table with peers in its own zone and remote zones.
func membershipTable(peers, zones int) *member.Table {
	t := member.New(member.Options{Config: member.Default(), Zone: "zone-0", Host: "entry-000", Address: "10.0.0.1:7400"}, sampleTime)
	for i := range peers {
		t.Handle(member.Message{Type: member.Ack, Zone: "zone-0", From: samplePeer(i + 1)}, sampleTime)
	}
	for i := range zones {
		t.Handle(member.Message{
			Type: member.ExchangeAnswer, Zone: id.Zone(fmt.Sprintf("zone-%d", i+1)), From: samplePeer(i + 1),
			Summaries: []member.Summary{sampleSummary(i + 1)},
		}, sampleTime)
	}
	return t
}

func samplePeer(i int) member.Peer {
	return member.Peer{
		Host:        id.Host(fmt.Sprintf("entry-%03d", i)),
		Address:     fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250+1),
		Incarnation: uint64(sampleTime.UnixMilli()) + uint64(i),
	}
}

func sampleSummary(zone int) member.Summary {
	return member.Summary{
		Zone: id.Zone(fmt.Sprintf("zone-%d", zone)), Delegate: "entry-001", Stamp: sampleTime.UnixMilli(), Alive: 36,
		Contacts: []member.Peer{samplePeer(1), samplePeer(2), samplePeer(3)},
	}
}
