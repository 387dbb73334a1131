package slopes

import (
	"context"
	"time"

	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/configsync"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/wire/codec"
	"github.com/siskinford/siskinford/wire/msg"
)

// sampleReport returns a load report of a busy endpoint with n cache events.
func sampleReport(n int) msg.Report {
	r := msg.Report{
		Endpoint: "endpoint-0001", Incarnation: "inc_0123456789abcdef0123456789abcdef", Seq: 123456, Healthy: true,
		Queued: 12, Running: 24, QueuedTokens: 14000, RunningTokens: 36000, Slots: 32, StepTimeMicros: 33000, EngineLagMicros: 250000,
	}
	for i := range n {
		r.CacheEvents = append(r.CacheEvents, msg.CacheEvent{Seq: uint64(900000 + i), Block: 0x9e3779b97f4a7c15 * uint64(i+1)})
	}
	return r
}

// sampleDigest returns a digest with version numbers as after years of changes.
func sampleDigest() configsync.Digest {
	return configsync.Digest{
		Ready:    true,
		Versions: map[config.Kind]uint64{config.KindServices: 100, config.KindTeams: 5000, config.KindEndpoints: 9000},
	}
}

// sampleHeartbeat returns a probe with a digest and without membership updates.
func sampleHeartbeat() member.Message {
	appData, err := codec.Marshal(sampleDigest())
	if err != nil {
		panic(err) // The digest is a constant.
	}
	return member.Message{Type: member.Ping, Zone: "zone-0", From: samplePeer(1), Seq: 100000, Hash: 1 << 60, AppData: appData}
}

// measureSizes measures the encoded sizes of control messages.
func measureSizes(_ context.Context, c Config, r *Result) error {
	full := sampleHeartbeat()
	full.Type = member.Sync
	for i := range c.ZoneSize {
		full.Updates = append(full.Updates, samplePeer(i))
	}
	samples := []struct {
		name    string
		message any
	}{
		{"load report without cache events", sampleReport(0)},
		{"load report with 8 cache events", sampleReport(8)},
		{"digest of versions", sampleDigest()},
		{"heartbeat with digest", []member.Message{sampleHeartbeat()}},
		{"summary of a zone", sampleSummary(1)},
		{"all members of a zone", []member.Message{full}},
	}
	for _, s := range samples {
		b, err := codec.Marshal(s.message)
		if err != nil {
			return err
		}
		r.Sizes = append(r.Sizes, MessageSize{Message: s.name, Bytes: len(b)})
	}
	return nil
}

// measureApply measures the cost of applying full configurations.
func measureApply(_ context.Context, c Config, r *Result) error {
	rows := []struct {
		kind    config.Kind
		objects int
		set     any
	}{
		{config.KindEndpoints, c.Endpoints, endpointSet(c.Endpoints)},
		{config.KindTeams, c.Teams, teamSet(c.Teams)},
		{config.KindServices, c.Services, serviceSet(c.Services)},
	}
	applier := configsync.NewSnapshotApplier(nil)
	for _, row := range rows {
		value, err := envelope(row.set)
		if err != nil {
			return err
		}
		a, err := applyRow(applier, row.kind, value)
		if err != nil {
			return err
		}
		a.Objects = row.objects
		r.Apply = append(r.Apply, a)
	}
	return nil
}

// applyRounds is the number of versions over which CPU time is averaged.
const applyRounds = 20

func applyRow(applier *configsync.SnapshotApplier, kind config.Kind, value []byte) (ApplyCost, error) {
	a := ApplyCost{Kind: string(kind), ValueBytes: len(value)}
	start := processorTime()
	for version := range uint64(applyRounds) {
		if err := applier.Apply(kind, version+1, value); err != nil {
			return a, err
		}
	}
	a.ApplyCPU = millis((processorTime() - start) / applyRounds)
	start = processorTime()
	for range applyRounds {
		deflated, err := configsync.Deflate(value)
		if err != nil {
			return a, err
		}
		if _, err := configsync.Inflate(deflated); err != nil {
			return a, err
		}
		a.DeflatedBytes = len(deflated)
	}
	a.DeflateInflateCPU = millis((processorTime() - start) / time.Duration(applyRounds))
	return a, nil
}
