package slopes

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/siskinford/siskinford/core/timer"
)

func measureMembership(ctx context.Context, c Config, r *Result) error {
	for _, n := range c.Nodes {
		for _, zones := range zoneCounts(n, c.ZoneSize) {
			row, err := membershipRow(ctx, c, n, zones)
			if err != nil {
				return err
			}
			r.Membership = append(r.Membership, row)
		}
	}
	return nil
}

// zoneCounts returns the numbers of zones to split n nodes into: zones of zoneSize,
// and ten smaller ones if they hold at least two nodes each.
func zoneCounts(n, zoneSize int) []int {
	full := (n + zoneSize - 1) / zoneSize
	const many = 10
	if full >= many || n < 2*many {
		return []int{full}
	}
	return []int{full, many}
}

func membershipRow(ctx context.Context, c Config, n, zones int) (MembershipCost, error) {
	before := liveHeapBytes()
	b, err := newBench(ctx, c, ModeZoneReader, n, (n+zones-1)/zones, 0)
	if err != nil {
		return MembershipCost{}, err
	}
	defer b.close()
	row := MembershipCost{Nodes: n, Zones: b.zones}
	row.HeapBytes = max(0, liveHeapBytes()-before) / float64(n)
	start, cpu := time.Now(), processorTime()
	first := b.traffic()
	if err := timer.Sleep(ctx, c.Window); err != nil {
		return row, err
	}
	seconds := time.Since(start).Seconds()
	row.CorePercent = 100 * (processorTime() - cpu).Seconds() / seconds / float64(n)
	for i, t := range b.traffic() {
		sent := float64(t.sent-first[i].sent) / seconds
		row.SentMean += sent / float64(n)
		row.SentMax = max(row.SentMax, sent)
		row.ReceivedMean += float64(t.received-first[i].received) / seconds / float64(n)
		row.CallsMean += float64(t.calls-first[i].calls) / seconds / float64(n)
	}
	return row, nil
}

type traffic struct{ sent, received, calls uint64 }

func (b *bench) traffic() []traffic {
	out := make([]traffic, len(b.nodes))
	for i, n := range b.nodes {
		t := n.net.Traffic()
		out[i] = traffic{sent: t.Sent, received: t.Received, calls: t.Calls}
	}
	return out
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeapBytes collects garbage and returns the size of the live objects.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
