package slopes

import (
	"context"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/timer"
	"github.com/siskinford/siskinford/fleet/config"
)

// changeGap is the time between two changes of a run.
const changeGap = 500 * time.Millisecond

func measureSpread(ctx context.Context, c Config, r *Result) error {
	modes := []Mode{ModeZoneReader, ModePlatformRecovery, ModeDirectPush, ModeWatchEach}
	for _, n := range c.Nodes {
		for _, mode := range modes {
			losses := []float64{0, c.Loss}
			if mode == ModeWatchEach {
				losses = losses[:1] // No message travels between entries.
			}
			for _, loss := range losses {
				row, err := spreadRow(ctx, c, mode, n, loss)
				if err != nil {
					return err
				}
				r.Spread = append(r.Spread, row)
			}
		}
	}
	return nil
}

func spreadRow(ctx context.Context, c Config, mode Mode, n int, loss float64) (Spread, error) {
	b, err := newBench(ctx, c, mode, n, c.ZoneSize, loss)
	if err != nil {
		return Spread{}, err
	}
	defer b.close()
	row := Spread{Mode: mode, Nodes: n, Zones: b.zones, Loss: loss}
	idle, err := b.idleCalls(ctx, c.Window)
	if err != nil {
		return row, err
	}
	row.IdleCallsPerSecond = idle
	if err := b.spreadChanges(ctx, c.Changes, &row); err != nil {
		return row, err
	}
	if mode != ModeWatchEach {
		err = b.deadReader(ctx, &row)
	}
	return row, err
}

// idleCalls returns the calls to the platform in a second without changes.
func (b *bench) idleCalls(ctx context.Context, window time.Duration) (float64, error) {
	before := len(b.platform.Calls())
	if err := timer.Sleep(ctx, window); err != nil {
		return 0, err
	}
	return float64(len(b.platform.Calls())-before) / window.Seconds(), nil
}

// spreadChanges makes changes and fills in their delay and cost. The calls that
// the readers make without changes are taken off.
func (b *bench) spreadChanges(ctx context.Context, changes int, row *Spread) error {
	calls := len(b.platform.Calls())
	start := time.Now()
	var delays []time.Duration
	for range changes {
		sent := b.sent()
		version, err := b.accept(ctx, config.KindTeams)
		if err != nil {
			return err
		}
		took, ok := b.await(ctx, config.KindTeams, version, b.nodes)
		if !ok {
			row.Missed++
		}
		delays = append(delays, took)
		row.MaxSentPerChange = max(row.MaxSentPerChange, b.mostSent(sent))
		if err := timer.Sleep(ctx, changeGap); err != nil {
			return err
		}
	}
	slices.Sort(delays)
	row.Median = millis(delays[len(delays)/2])
	row.Max = millis(delays[len(delays)-1])
	idle := row.IdleCallsPerSecond * time.Since(start).Seconds()
	row.CallsPerChange = max(0, float64(len(b.platform.Calls())-calls)-idle) / float64(changes)
	return nil
}

func (b *bench) sent() []uint64 {
	out := make([]uint64, len(b.nodes))
	for i, n := range b.nodes {
		out[i] = n.net.Traffic().Sent
	}
	return out
}

// mostSent returns the most that a node sent since before.
func (b *bench) mostSent(before []uint64) float64 {
	var most uint64
	for i, n := range b.nodes {
		most = max(most, n.net.Traffic().Sent-before[i])
	}
	return float64(most)
}

// deadReader kills the reader of a zone and measures the next change.
func (b *bench) deadReader(ctx context.Context, row *Spread) error {
	zone := b.nodes[0].zone
	for i, n := range b.nodes {
		if n.zone != zone || !n.members.Owns("reader/"+string(zone)) {
			continue
		}
		n.stop()
		version, err := b.accept(ctx, config.KindTeams)
		if err != nil {
			return err
		}
		alive := slices.Delete(slices.Clone(b.nodes), i, i+1)
		took, ok := b.await(ctx, config.KindTeams, version, alive)
		if !ok {
			row.Missed++
		}
		row.DeadReader = millis(took)
		return nil
	}
	return nil
}
