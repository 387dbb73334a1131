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
	// pauseDuration is the length of a temporary process pause.
	pauseDuration = 2 * time.Second
	// detectionWindow is the observation time from the injection of a fault.
	detectionWindow = 6 * time.Second
	// heavyLoss is the message loss rate in the runs with loss.
	heavyLoss = 0.2
)

// fault is a failure of one entry.
type fault struct {
	name string
	// inject returns when the fault is over, or active if it persists.
	inject func(ctx context.Context, b *bench, victim *node) error
	// permanent means that declaring the victim dead is correct.
	permanent bool
	// suspicious means that suspecting the victim is correct.
	suspicious bool
	loss       float64
}

func faults() []fault {
	return []fault{
		{name: "kill", inject: kill, permanent: true, suspicious: true},
		{name: "pause of 2 s", inject: pause, suspicious: true},
		{name: "pause for good", inject: pausePermanently, permanent: true, suspicious: true},
		{name: "silent connections", inject: blackholeConnections},
		{name: "loss of 20 % of messages", inject: noFault, loss: heavyLoss},
		{name: "kill under loss of 20 %", inject: kill, permanent: true, suspicious: true, loss: heavyLoss},
	}
}

func kill(_ context.Context, _ *bench, victim *node) error {
	victim.stop()
	return nil
}

func pause(ctx context.Context, _ *bench, victim *node) error {
	victim.net.Pause()
	defer victim.net.Resume()
	return timer.Sleep(ctx, pauseDuration)
}

func pausePermanently(_ context.Context, _ *bench, victim *node) error {
	victim.net.Pause()
	return nil
}

// blackholeConnections drops all traffic on the victim's existing connections.
func blackholeConnections(_ context.Context, b *bench, victim *node) error {
	for _, n := range b.nodes {
		if n != victim {
			b.net.Blackhole(victim.address, n.address)
		}
	}
	return nil
}

func noFault(context.Context, *bench, *node) error { return nil }

// measureDetection injects each fault into full-size zones, with the rounds of a
// fault in parallel.
func measureDetection(ctx context.Context, c Config, r *Result) error {
	for _, f := range faults() {
		rounds := make([]Detection, c.Rounds)
		g, ctx := errgroup.WithContext(ctx)
		for i := range rounds {
			g.Go(func() error { return detectionRound(ctx, c, f, i, &rounds[i]) })
		}
		if err := g.Wait(); err != nil {
			return err
		}
		row := Detection{Fault: f.name, Nodes: c.ZoneSize, Rounds: c.Rounds}
		for _, round := range rounds {
			row.add(round)
		}
		r.Detection = append(r.Detection, row)
	}
	return nil
}

func (row *Detection) add(round Detection) {
	row.SuspectFirst = max(row.SuspectFirst, round.SuspectFirst)
	row.SuspectAll = max(row.SuspectAll, round.SuspectAll)
	row.DeadAll = max(row.DeadAll, round.DeadAll)
	row.FalseSuspicions += round.FalseSuspicions
	row.FalseDeaths += round.FalseDeaths
	row.ObservedHostSeconds += round.ObservedHostSeconds
}

func detectionRound(ctx context.Context, c Config, f fault, round int, row *Detection) error {
	c.Seed += uint64(round)
	b, err := newBench(ctx, c, ModeZoneReader, c.ZoneSize, c.ZoneSize, f.loss)
	if err != nil {
		return err
	}
	defer b.close()
	victim := b.nodes[round%len(b.nodes)]
	b.drainChanges()
	start := time.Now()
	if err := f.inject(ctx, b, victim); err != nil {
		return err
	}
	if err := timer.Sleep(ctx, detectionWindow-time.Since(start)); err != nil {
		return err
	}
	row.ObservedHostSeconds = time.Since(start).Seconds() * float64(len(b.nodes))
	victim.net.Resume()
	row.evaluate(b.drainChanges(), f, victim.host, start, len(b.nodes)-1)
	return nil
}

// evaluate computes the detection times and false positives of one round.
func (row *Detection) evaluate(changes []stateChange, f fault, victim id.Host, start time.Time, others int) {
	suspected := make(map[id.Host]time.Time) // first suspicion of the victim by observer
	dead := make(map[id.Host]time.Time)
	falseSuspects := make(map[id.Host]bool)
	falseDead := make(map[id.Host]bool)
	for _, c := range changes {
		subject, state := c.Peer.Host, c.Peer.State
		if state < member.Suspect || (c.observer == victim && f.permanent) {
			continue // Ignore the state held by a failed host.
		}
		if subject == victim && f.suspicious {
			recordFirst(suspected, c)
		} else {
			falseSuspects[subject] = true
		}
		if state != member.Dead {
			continue
		}
		if subject == victim && f.permanent {
			recordFirst(dead, c)
		} else {
			falseDead[subject] = true
		}
	}
	row.FalseSuspicions = len(falseSuspects)
	row.FalseDeaths = len(falseDead)
	if len(suspected) > 0 {
		earliest, _ := timeRange(suspected, start)
		row.SuspectFirst = millis(earliest)
	}
	if len(suspected) == others {
		_, latest := timeRange(suspected, start)
		row.SuspectAll = millis(latest)
	}
	if len(dead) == others {
		_, latest := timeRange(dead, start)
		row.DeadAll = millis(latest)
	}
}

func recordFirst(seen map[id.Host]time.Time, c stateChange) {
	if _, ok := seen[c.observer]; !ok {
		seen[c.observer] = c.at
	}
}

// timeRange returns the earliest and the latest time relative to start.
func timeRange(times map[id.Host]time.Time, start time.Time) (earliest, latest time.Duration) {
	for _, at := range times {
		d := at.Sub(start)
		if earliest == 0 || d < earliest {
			earliest = d
		}
		latest = max(latest, d)
	}
	return earliest, latest
}
