package slopes

import (
	"context"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/timer"
	"github.com/siskinford/siskinford/fleet/config"
)

// changeInterval is the pause after each change of a run.
const changeInterval = 500 * time.Millisecond

func measurePropagation(ctx context.Context, c Config, r *Result) error {
	modes := []Mode{ModeZoneReader, ModePlatformRecovery, ModeDirectPush, ModeWatchEach}
	for _, n := range c.Nodes {
		for _, mode := range modes {
			losses := []float64{0, c.Loss}
			if mode == ModeWatchEach {
				losses = losses[:1] // Entries exchange no messages.
			}
			for _, loss := range losses {
				row, err := propagationRow(ctx, c, mode, n, loss)
				if err != nil {
					return err
				}
				r.Propagation = append(r.Propagation, row)
			}
		}
	}
	return nil
}

func propagationRow(ctx context.Context, c Config, mode Mode, n int, loss float64) (Propagation, error) {
	b, err := newBench(ctx, c, mode, n, c.ZoneSize, loss)
	if err != nil {
		return Propagation{}, err
	}
	defer b.close()
	row := Propagation{Mode: mode, Nodes: n, Zones: b.zones, Loss: loss}
	idle, err := b.idleCalls(ctx, c.Window)
	if err != nil {
		return row, err
	}
	row.IdleCallsPerSecond = idle
	if err := b.measureChanges(ctx, c.Changes, &row); err != nil {
		return row, err
	}
	if mode != ModeWatchEach {
		err = b.measureReaderDeath(ctx, &row)
	}
	return row, err
}

// idleCalls returns the platform calls per second while nothing changes.
func (b *bench) idleCalls(ctx context.Context, window time.Duration) (float64, error) {
	before := len(b.platform.Calls())
	if err := timer.Sleep(ctx, window); err != nil {
		return 0, err
	}
	return float64(len(b.platform.Calls())-before) / window.Seconds(), nil
}

// measureChanges makes changes and measures their latency and cost. It subtracts
// the platform calls expected without changes.
func (b *bench) measureChanges(ctx context.Context, changes int, row *Propagation) error {
	calls := len(b.platform.Calls())
	start := time.Now()
	var delays []time.Duration
	for range changes {
		sent := b.sentBytes()
		version, err := b.putVersion(ctx, config.KindTeams)
		if err != nil {
			return err
		}
		took, ok := b.awaitVersion(ctx, config.KindTeams, version, b.nodes)
		if !ok {
			row.Missed++
		}
		delays = append(delays, took)
		row.MaxSentPerChange = max(row.MaxSentPerChange, b.maxSent(sent))
		if err := timer.Sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	slices.Sort(delays)
	row.InForceMedian = millis(delays[len(delays)/2])
	row.InForceMax = millis(delays[len(delays)-1])
	idle := row.IdleCallsPerSecond * time.Since(start).Seconds()
	row.CallsPerChange = max(0, float64(len(b.platform.Calls())-calls)-idle) / float64(changes)
	return nil
}

func (b *bench) sentBytes() []uint64 {
	out := make([]uint64, len(b.nodes))
	for i, n := range b.nodes {
		out[i] = n.net.Traffic().Sent
	}
	return out
}

// maxSent returns the maximum number of bytes that a node has sent since before.
func (b *bench) maxSent(before []uint64) float64 {
	var most uint64
	for i, n := range b.nodes {
		most = max(most, n.net.Traffic().Sent-before[i])
	}
	return float64(most)
}

// measureReaderDeath kills a zone's reader and measures the next change.
func (b *bench) measureReaderDeath(ctx context.Context, row *Propagation) error {
	zone := b.nodes[0].zone
	for i, n := range b.nodes {
		if n.zone != zone || !n.members.Owns("reader/"+string(zone)) {
			continue
		}
		n.stop()
		version, err := b.putVersion(ctx, config.KindTeams)
		if err != nil {
			return err
		}
		alive := slices.Delete(slices.Clone(b.nodes), i, i+1)
		took, ok := b.awaitVersion(ctx, config.KindTeams, version, alive)
		if !ok {
			row.Missed++
		}
		row.InForceReaderDead = millis(took)
		return nil
	}
	return nil
}
