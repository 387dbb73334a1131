package configsync

import (
	"context"
	"errors"
	"slices"

	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// catchUp fetches versions that other hosts showed until ctx ends.
func (s *Syncer) catchUp(ctx context.Context) {
	failures := 0
	for {
		select {
		case <-s.missing:
		case <-ctx.Done():
			return
		}
		if !s.wait(ctx, s.cfg.PushGrace) {
			return
		}
		if s.fetchMissing(ctx) {
			failures = 0
			continue
		}
		if !s.wait(ctx, s.cfg.backoff(failures)) {
			return
		}
		failures++
		s.signal()
	}
}

// fetchMissing fetches each version that is missing and reports whether none is left.
func (s *Syncer) fetchMissing(ctx context.Context) bool {
	whole := true
	for _, kind := range config.Kinds() {
		if want := s.wanted(kind); want > 0 && !s.fetch(ctx, kind, want) {
			whole = false
		}
	}
	return whole
}

// wanted returns the greatest version of a kind that others showed, or zero if
// none is greater than the one in force.
func (s *Syncer) wanted(kind config.Kind) uint64 {
	own := s.opt.Applier.Versions()[kind]
	s.mu.Lock()
	defer s.mu.Unlock()
	var want uint64
	for _, src := range s.sources[kind] {
		if src.version > own {
			want = max(want, src.version)
		}
	}
	return want
}

// fetch asks peers in the zone, then peers elsewhere, and the platform last,
// until at least version want is in force. Peers that fail are forgotten until
// they show the version again.
func (s *Syncer) fetch(ctx context.Context, kind config.Kind, want uint64) bool {
	zone, elsewhere := s.candidates(kind)
	for _, address := range zone {
		if s.fetchFrom(ctx, address, kind, want) {
			return true
		}
		s.forget(kind, address)
	}
	for _, address := range elsewhere {
		if s.fetchFrom(ctx, address, kind, want) {
			s.pushZone(kind)
			return true
		}
		s.forget(kind, address)
	}
	return s.fetchFromPlatform(ctx, kind, want)
}

func (s *Syncer) forget(kind config.Kind, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources[kind] = slices.DeleteFunc(s.sources[kind], func(src source) bool { return src.address == address })
}

// candidates returns the addresses of hosts that showed a greater version, in
// and outside the zone, in random order and bounded.
func (s *Syncer) candidates(kind config.Kind) (zone, elsewhere []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, src := range s.sources[kind] {
		if src.inZone {
			zone = append(zone, src.address)
		} else {
			elsewhere = append(elsewhere, src.address)
		}
	}
	shuffle := func(a []string) { s.rng.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] }) }
	shuffle(zone)
	shuffle(elsewhere)
	return zone[:min(s.cfg.ZoneTries, len(zone))], elsewhere[:min(s.cfg.ElsewhereTries, len(elsewhere))]
}

func (s *Syncer) fetchFrom(ctx context.Context, address string, kind config.Kind, want uint64) bool {
	if s.inForce(kind, want) {
		return true
	}
	a, err := s.call(ctx, address, request{Fetch: kind})
	if err != nil || a.Object == nil {
		return false
	}
	value, err := Inflate(a.Object.Value)
	if err != nil {
		return false
	}
	s.apply(kind, a.Object.Version, value, address)
	return s.inForce(kind, want)
}

func (s *Syncer) fetchFromPlatform(ctx context.Context, kind config.Kind, want uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallPlatformTimeout)
	defer cancel()
	o, err := s.opt.Store.Get(ctx, config.ObjectKind, string(kind))
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		s.take(objectapi.Object{Kind: config.ObjectKind, Name: string(kind)})
		return false
	}
	if err != nil {
		return false
	}
	s.take(o)
	return s.inForce(kind, want)
}

// inForce reports whether at least a version is in force or known to be invalid.
func (s *Syncer) inForce(kind config.Kind, version uint64) bool {
	own := s.opt.Applier.Versions()[kind]
	s.mu.Lock()
	defer s.mu.Unlock()
	return own >= version || s.rejected[kind] >= version
}

// platformAfter is the number of rounds without a peer that is ready after
// which a host that is not the reader of its zone asks the platform itself.
const platformAfter = 4

// bootstrap asks peers until one that is ready has told all its versions.
func (s *Syncer) bootstrap(ctx context.Context) {
	for round := 0; !s.Ready() && ctx.Err() == nil; round++ {
		if s.askPeers(ctx) {
			return
		}
		if round >= platformAfter && s.list(ctx) {
			return
		}
		if !s.wait(ctx, s.cfg.backoff(round)) {
			return
		}
	}
}

// askPeers brings the greatest versions of a few peers into force and reports
// whether one of them was ready.
func (s *Syncer) askPeers(ctx context.Context) bool {
	if s.ask(ctx, s.someOf(s.opt.Peers.Live(), s.cfg.ZoneTries), true) {
		return true
	}
	return s.ask(ctx, s.someOf(s.opt.Peers.RemotePeers(), s.cfg.ElsewhereTries), false)
}

func (s *Syncer) ask(ctx context.Context, peers []member.Peer, inZone bool) bool {
	ready := ""
	for _, p := range peers {
		a, err := s.call(ctx, p.Address, request{})
		if err != nil || !a.Digest.Ready {
			continue
		}
		s.learn(p.Address, inZone, a.Digest)
		ready = string(p.Host)
	}
	if ready == "" || !s.fetchMissing(ctx) {
		return false
	}
	s.setReady(ready)
	return true
}

// someOf returns up to n random peers other than the own host.
func (s *Syncer) someOf(peers []member.Peer, n int) []member.Peer {
	self := s.opt.Peers.Self().Host
	peers = slices.DeleteFunc(slices.Clone(peers), func(p member.Peer) bool { return p.Host == self })
	s.mu.Lock()
	s.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.mu.Unlock()
	return peers[:min(n, len(peers))]
}
