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

// pushZone passes the version in force on to all live hosts of the zone. It
// does not block.
func (s *Syncer) pushZone(kind config.Kind) {
	o, err := s.object(kind)
	if err != nil || o == nil {
		return
	}
	s.enqueue(push{Object: *o, Rest: s.targets(*o)})
}

// enqueue leaves a push to the workers, or drops it if too many wait. Hosts
// that it would have reached recover the version by the digests.
func (s *Syncer) enqueue(p push) {
	if len(p.Rest) == 0 {
		return
	}
	select {
	case s.pushes <- p:
	default:
	}
}

// targets returns the live hosts of the zone in an order that differs for each
// version, so that the work of passing it on changes hands.
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

// pushTo splits the targets into parts and sends the object to the first host
// of each part, which passes it on to the rest of the part. It blocks until
// each part has a host that took it.
func (s *Syncer) pushTo(ctx context.Context, o object, targets []target) {
	var wg sync.WaitGroup
	for _, part := range split(targets, s.cfg.Fanout) {
		wg.Go(func() { s.pushPart(ctx, o, part) })
	}
	wg.Wait()
}

// pushPart sends the object to the first host of the part that answers. Hosts
// that do not answer recover the version by the digests.
func (s *Syncer) pushPart(ctx context.Context, o object, part []target) {
	for len(part) > 0 && ctx.Err() == nil {
		_, err := s.call(ctx, part[0].Address, request{Push: &push{Object: o, Rest: part[1:]}})
		if err == nil {
			return
		}
		part = part[1:]
	}
}

// split divides the targets into up to n parts of about equal size.
func split(targets []target, n int) [][]target {
	n = min(n, len(targets))
	var out [][]target
	for i := range n {
		out = append(out, targets[i*len(targets)/n:(i+1)*len(targets)/n])
	}
	return out
}

// takePush applies a pushed object and passes it on if it was new.
func (s *Syncer) takePush(p push) error {
	value, err := Inflate(p.Object.Value)
	if err != nil {
		return err
	}
	if s.apply(p.Object.Kind, p.Object.Version, value, "push") {
		s.enqueue(p)
	}
	return nil
}

// forward passes pushes on until ctx ends.
func (s *Syncer) forward(ctx context.Context) {
	for {
		select {
		case p := <-s.pushes:
			s.pushTo(ctx, p.Object, p.Rest)
		case <-ctx.Done():
			return
		}
	}
}

// call sends a request to a peer and returns its answer.
func (s *Syncer) call(ctx context.Context, address string, r request) (answer, error) {
	payload, err := encode(r)
	if err != nil {
		return answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	b, err := s.opt.Caller.Call(ctx, address, payload)
	if err != nil {
		if ctx.Err() != nil {
			s.opt.Caller.Abandon(address)
		}
		return answer{}, err
	}
	var a answer
	if err := decode(b, &a); err != nil {
		return answer{}, err
	}
	return a, nil
}
