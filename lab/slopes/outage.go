package slopes

import (
	"context"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/timer"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/objectapi/faultstore"
)

// returnWindow is the time after an outage in which calls are counted.
const returnWindow = 10 * time.Second

// measureOutage makes the platform unavailable to a fleet of the largest size.
func measureOutage(ctx context.Context, c Config, r *Result) error {
	for _, mode := range []Mode{ModeZoneReader, ModeWatchEach} {
		row, err := outageRow(ctx, c, mode, slices.Max(c.Nodes))
		if err != nil {
			return err
		}
		r.Outage = append(r.Outage, row)
	}
	return nil
}

func outageRow(ctx context.Context, c Config, mode Mode, n int) (Outage, error) {
	b, err := newBench(ctx, c, mode, n, c.ZoneSize, 0)
	if err != nil {
		return Outage{}, err
	}
	defer b.close()
	row := Outage{Mode: mode, Nodes: n, Zones: b.zones, Seconds: c.Outage.Seconds()}
	start := time.Now()
	b.platform.SetDown(true)
	if err := timer.Sleep(ctx, c.Outage); err != nil {
		return row, err
	}
	version, err := b.putVersion(ctx, config.KindTeams)
	if err != nil {
		return row, err
	}
	back := time.Now()
	b.platform.SetDown(false)
	took, _ := b.awaitVersion(ctx, config.KindTeams, version, b.nodes)
	row.InForce = millis(took)
	if err := timer.Sleep(ctx, returnWindow-time.Since(back)); err != nil {
		return row, err
	}
	row.count(b.platform.Calls(), start, back)
	return row, nil
}

func (row *Outage) count(calls []faultstore.Call, start, back time.Time) {
	perSecond := make(map[int]int)
	for _, c := range calls {
		switch {
		case c.At.Before(start):
		case c.At.Before(back):
			row.CallsDuring++
		case c.At.Sub(back) < returnWindow:
			row.CallsFirst10s++
			second := int(c.At.Sub(back) / time.Second)
			perSecond[second]++
			row.PeakCalls = max(row.PeakCalls, perSecond[second])
		}
	}
}
