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

// report returns a load report of a busy endpoint with n cache events.
func report(n int) msg.Report {
	r := msg.Report{
		Endpoint: "endpoint-0001", Incarnation: "inc_0123456789abcdef0123456789abcdef", Seq: 123456, Healthy: true,
		Queued: 12, Running: 24, QueuedTokens: 14000, RunningTokens: 36000, Slots: 32, StepTimeMicros: 33000, EngineLagMicros: 250000,
	}
	for i := range n {
		r.CacheEvents = append(r.CacheEvents, msg.CacheEvent{Seq: uint64(900000 + i), Block: 0x9e3779b97f4a7c15 * uint64(i+1)})
	}
	return r
}

// digest returns the digest of a host after years of changes.
func digest() configsync.Digest {
	return configsync.Digest{
		Ready:    true,
		Versions: map[config.Kind]uint64{config.KindServices: 100, config.KindTeams: 5000, config.KindEndpoints: 9000},
	}
}

// heartbeat returns a probe with a digest and without claims.
func heartbeat() member.Message {
	note, err := codec.Marshal(digest())
	if err != nil {
		panic(err) // The digest is a constant.
	}
	return member.Message{Type: member.Ping, Zone: "zone-0", From: peerOf(1), Seq: 100000, Hash: 1 << 60, AppData: note}
}

// measureSizes fills in the encoded size of control messages.
func measureSizes(_ context.Context, c Config, r *Result) error {
	full := heartbeat()
	full.Type = member.Sync
	for i := range c.ZoneSize {
		full.Updates = append(full.Updates, peerOf(i))
	}
	samples := []struct {
		name    string
		message any
	}{
		{"load report without cache events", report(0)},
		{"load report with 8 cache events", report(8)},
		{"digest of versions", digest()},
		{"heartbeat with digest", []member.Message{heartbeat()}},
		{"summary of a zone", summaryOf(1)},
		{"all members of a zone", []member.Message{full}},
	}
	for _, s := range samples {
		b, err := codec.Marshal(s.message)
		if err != nil {
			return err
		}
		r.Sizes = append(r.Sizes, Size{Message: s.name, Bytes: len(b)})
	}
	return nil
}

// measureApply fills in the cost of bringing full configurations into force.
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
	holder := configsync.NewSnapshotApplier(nil)
	for _, row := range rows {
		value, err := envelope(row.set)
		if err != nil {
			return err
		}
		a, err := applyRow(holder, row.kind, value)
		if err != nil {
			return err
		}
		a.Objects = row.objects
		r.Apply = append(r.Apply, a)
	}
	return nil
}

// applyRounds is the number of versions over which processor time is averaged.
const applyRounds = 20

func applyRow(holder *configsync.SnapshotApplier, kind config.Kind, value []byte) (Apply, error) {
	a := Apply{Kind: string(kind), ValueBytes: len(value)}
	start := processorTime()
	for version := range uint64(applyRounds) {
		if err := holder.Apply(kind, version+1, value); err != nil {
			return a, err
		}
	}
	a.Apply = millis((processorTime() - start) / applyRounds)
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
	a.Pass = millis((processorTime() - start) / time.Duration(applyRounds))
	return a, nil
}
