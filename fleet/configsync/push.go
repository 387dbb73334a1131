package configsync

import (
	"context"
	"fmt"
	"sync"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// pushToZone queues a push of the version in force to all live hosts of the zone.
// It does not block.
func (s *Syncer) pushToZone(kind config.Kind) {
	o, err := s.object(kind)
	if err != nil || o == nil {
		return
	}
	s.enqueue(push{Object: *o, Rest: s.targets(*o)})
}

// enqueue queues a push for the workers, or drops it if the queue is full. Its
// targets then recover the version by anti-entropy.
func (s *Syncer) enqueue(p push) {
	if len(p.Rest) == 0 {
		return
	}
	select {
	case s.pushes <- p:
	default:
	}
}

// targets returns the live hosts of the zone in an order that differs per version,
// which spreads the forwarding work.
func (s *Syncer) targets(o object) []target {
	live := s.opt.Peers.Live()
	self := s.opt.Peers.Self().Host
	byHost := make(map[id.Host]member.Peer, len(live))
	var hosts []id.Host
	for _, p := range live {
		if p.Host != self {
			byHost[p.Host] = p
			hosts = append(hosts, p.Host)
		}
	}
	var out []target
	for _, h := range rendezvous.Rank(fmt.Sprintf("push/%s/%d", o.Kind, o.Version), hosts) {
		out = append(out, target{Host: h, Address: byHost[h].Address})
	}
	return out
}

// pushTree splits the targets into subtrees and sends the object to the first host
// of each, which forwards it to the rest. It blocks until every subtree has a host
// that accepted the object or none is left to try.
func (s *Syncer) pushTree(ctx context.Context, o object, targets []target) {
	var wg sync.WaitGroup
	for _, part := range splitTargets(targets, s.cfg.Fanout) {
		wg.Go(func() { s.pushSubtree(ctx, o, part) })
	}
	wg.Wait()
}

// pushSubtree sends the object to the first host of the part that answers. The hosts
// skipped recover the version by anti-entropy.
func (s *Syncer) pushSubtree(ctx context.Context, o object, part []target) {
	for len(part) > 0 && ctx.Err() == nil {
		_, err := s.call(ctx, part[0].Address, request{Push: &push{Object: o, Rest: part[1:]}})
		if err == nil {
			return
		}
		part = part[1:]
	}
}

// splitTargets splits the targets into up to n parts of about equal size.
func splitTargets(targets []target, n int) [][]target {
	n = min(n, len(targets))
	var out [][]target
	for i := range n {
		out = append(out, targets[i*len(targets)/n:(i+1)*len(targets)/n])
	}
	return out
}

// handlePush applies a pushed object and forwards it if it was new.
func (s *Syncer) handlePush(p push) error {
	value, err := Inflate(p.Object.Value)
	if err != nil {
		return err
	}
	if s.apply(p.Object.Kind, p.Object.Version, value, "push") {
		s.enqueue(p)
	}
	return nil
}

// runPushes sends queued pushes until ctx ends.
func (s *Syncer) runPushes(ctx context.Context) {
	for {
		select {
		case p := <-s.pushes:
			s.pushTree(ctx, p.Object, p.Rest)
		case <-ctx.Done():
			return
		}
	}
}

// call sends a request to a peer and returns its answer.
func (s *Syncer) call(ctx context.Context, address string, r request) (response, error) {
	payload, err := encode(r)
	if err != nil {
		return response{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	b, err := s.opt.Caller.Call(ctx, address, payload)
	if err != nil {
		if ctx.Err() != nil {
			s.opt.Caller.Abandon(address)
		}
		return response{}, err
	}
	var a response
	if err := decode(b, &a); err != nil {
		return response{}, err
	}
	return a, nil
}
