package slopes

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timer"
	"github.com/siskinford/siskinford/fleet/member"
)

const (
	// pauseLen is the length of the pause of a process.
	pauseLen = 2 * time.Second
	// noticeSpan is the time for which the others are observed after a fault.
	noticeSpan = 6 * time.Second
	// heavyLoss is the share of packets lost in the run with loss.
	heavyLoss = 0.2
)

// fault is a fault of one entry.
type fault struct {
	name string
	// strike causes the fault and returns when it is over or lasts.
	strike func(ctx context.Context, b *bench, victim *node) error
	// lasting tells that the victim is gone, so that it is rightly declared dead.
	lasting bool
	// suspicious tells that the victim is rightly suspected.
	suspicious bool
	loss       float64
}

func faults() []fault {
	return []fault{
		{name: "kill", strike: kill, lasting: true, suspicious: true},
		{name: "pause of 2 s", strike: pause, suspicious: true},
		{name: "pause for good", strike: freeze, lasting: true, suspicious: true},
		{name: "silent connections", strike: silence},
		{name: "loss of 20 % of messages", strike: endure, loss: heavyLoss},
		{name: "kill under loss of 20 %", strike: kill, lasting: true, suspicious: true, loss: heavyLoss},
	}
}

func kill(_ context.Context, _ *bench, victim *node) error {
	victim.stop()
	return nil
}

func pause(ctx context.Context, _ *bench, victim *node) error {
	victim.net.Pause()
	defer victim.net.Resume()
	return timer.Sleep(ctx, pauseLen)
}

func freeze(_ context.Context, _ *bench, victim *node) error {
	victim.net.Pause()
	return nil
}

// silence makes all present connections of the victim silent.
func silence(_ context.Context, b *bench, victim *node) error {
	for _, n := range b.nodes {
		if n != victim {
			b.net.Blackhole(victim.address, n.address)
		}
	}
	return nil
}

func endure(context.Context, *bench, *node) error { return nil }

// measureNotice causes each fault in zones of the full size, all rounds at the
// same time.
func measureNotice(ctx context.Context, c Config, r *Result) error {
	for _, f := range faults() {
		rounds := make([]Notice, c.Rounds)
		g, ctx := errgroup.WithContext(ctx)
		for i := range rounds {
			g.Go(func() error { return noticeRound(ctx, c, f, i, &rounds[i]) })
		}
		if err := g.Wait(); err != nil {
			return err
		}
		row := Notice{Fault: f.name, Nodes: c.ZoneSize, Rounds: c.Rounds}
		for _, round := range rounds {
			row.add(round)
		}
		r.Notice = append(r.Notice, row)
	}
	return nil
}

func (row *Notice) add(round Notice) {
	row.SuspectFirst = max(row.SuspectFirst, round.SuspectFirst)
	row.SuspectAll = max(row.SuspectAll, round.SuspectAll)
	row.DeadAll = max(row.DeadAll, round.DeadAll)
	row.FalseSuspicions += round.FalseSuspicions
	row.FalseDeaths += round.FalseDeaths
	row.Observed += round.Observed
}

func noticeRound(ctx context.Context, c Config, f fault, round int, row *Notice) error {
	c.Seed += uint64(round)
	b, err := newBench(ctx, c, ModeZoneReader, c.ZoneSize, c.ZoneSize, f.loss)
	if err != nil {
		return err
	}
	defer b.close()
	victim := b.nodes[round%len(b.nodes)]
	b.takeChanges()
	start := time.Now()
	if err := f.strike(ctx, b, victim); err != nil {
		return err
	}
	if err := timer.Sleep(ctx, noticeSpan-time.Since(start)); err != nil {
		return err
	}
	row.Observed = time.Since(start).Seconds() * float64(len(b.nodes))
	victim.net.Resume()
	row.take(b.takeChanges(), f, victim.host, start, len(b.nodes)-1)
	return nil
}

// take fills in the changes of belief of one round.
func (row *Notice) take(changes []change, f fault, victim id.Host, start time.Time, others int) {
	suspected := make(map[id.Host]time.Time) // first suspicion of the victim by observer
	dead := make(map[id.Host]time.Time)
	falseSuspects := make(map[id.Host]bool)
	falseDead := make(map[id.Host]bool)
	for _, c := range changes {
		about, state := c.Peer.Host, c.Peer.State
		if state < member.Suspect || (c.observer == victim && f.lasting) {
			continue // A host that is gone believes nothing.
		}
		if about == victim && f.suspicious {
			first(suspected, c)
		} else {
			falseSuspects[about] = true
		}
		if state != member.Dead {
			continue
		}
		if about == victim && f.lasting {
			first(dead, c)
		} else {
			falseDead[about] = true
		}
	}
	row.FalseSuspicions = len(falseSuspects)
	row.FalseDeaths = len(falseDead)
	if len(suspected) > 0 {
		earliest, _ := span(suspected, start)
		row.SuspectFirst = millis(earliest)
	}
	if len(suspected) == others {
		_, latest := span(suspected, start)
		row.SuspectAll = millis(latest)
	}
	if len(dead) == others {
		_, latest := span(dead, start)
		row.DeadAll = millis(latest)
	}
}

func first(seen map[id.Host]time.Time, c change) {
	if _, ok := seen[c.observer]; !ok {
		seen[c.observer] = c.at
	}
}

// span returns the earliest and the latest time since start.
func span(times map[id.Host]time.Time, start time.Time) (earliest, latest time.Duration) {
	for _, at := range times {
		d := at.Sub(start)
		if earliest == 0 || d < earliest {
			earliest = d
		}
		latest = max(latest, d)
	}
	return earliest, latest
}
