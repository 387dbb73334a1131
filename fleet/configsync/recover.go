package configsync

import (
	"context"
	"errors"
	"slices"

	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// recoverMissing fetches greater versions reported by other hosts until ctx ends.
func (s *Syncer) recoverMissing(ctx context.Context) {
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
		s.signalMissing()
	}
}

// fetchMissing fetches all missing versions and reports whether it got each.
func (s *Syncer) fetchMissing(ctx context.Context) bool {
	whole := true
	for _, kind := range config.Kinds() {
		if want := s.newestOffered(kind); want > 0 && !s.fetch(ctx, kind, want) {
			whole = false
		}
	}
	return whole
}

// newestOffered returns the greatest version of a kind among the sources, or zero if
// none is greater than the one in force.
func (s *Syncer) newestOffered(kind config.Kind) uint64 {
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

// fetch asks peers in the zone, then in other zones, then the platform, until
// version want is resolved. Peers that fail are removed from the sources until
// their next digest.
func (s *Syncer) fetch(ctx context.Context, kind config.Kind, want uint64) bool {
	zone, remote := s.candidates(kind)
	for _, address := range zone {
		if s.fetchFrom(ctx, address, kind, want) {
			return true
		}
		s.removeSource(kind, address)
	}
	for _, address := range remote {
		if s.fetchFrom(ctx, address, kind, want) {
			s.pushToZone(kind)
			return true
		}
		s.removeSource(kind, address)
	}
	return s.fetchFromPlatform(ctx, kind, want)
}

func (s *Syncer) removeSource(kind config.Kind, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sources[kind] = slices.DeleteFunc(s.sources[kind], func(src source) bool { return src.address == address })
}

// candidates returns the addresses of up to MaxZonePeers sources in the zone and
// MaxRemotePeers in other zones, in random order.
func (s *Syncer) candidates(kind config.Kind) (zone, remote []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, src := range s.sources[kind] {
		if src.inZone {
			zone = append(zone, src.address)
		} else {
			remote = append(remote, src.address)
		}
	}
	shuffle := func(a []string) { s.rng.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] }) }
	shuffle(zone)
	shuffle(remote)
	return zone[:min(s.cfg.MaxZonePeers, len(zone))], remote[:min(s.cfg.MaxRemotePeers, len(remote))]
}

func (s *Syncer) fetchFrom(ctx context.Context, address string, kind config.Kind, want uint64) bool {
	if s.resolved(kind, want) {
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
	return s.resolved(kind, want)
}

func (s *Syncer) fetchFromPlatform(ctx context.Context, kind config.Kind, want uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallPlatformTimeout)
	defer cancel()
	o, err := s.opt.Store.Get(ctx, config.ObjectKind, string(kind))
	var missing *objectapi.NotFoundError
	if errors.As(err, &missing) {
		s.applyObject(objectapi.Object{Kind: config.ObjectKind, Name: string(kind)})
		return false
	}
	if err != nil {
		return false
	}
	s.applyObject(o)
	return s.resolved(kind, want)
}

// resolved reports whether a version or a greater one is in force or was rejected.
func (s *Syncer) resolved(kind config.Kind, version uint64) bool {
	own := s.opt.Applier.Versions()[kind]
	s.mu.Lock()
	defer s.mu.Unlock()
	return own >= version || s.rejected[kind] >= version
}

// peerOnlyRounds is the number of bootstrap rounds without a ready peer after which
// a host that is not the reader of its zone lists the platform itself.
const peerOnlyRounds = 4

// bootstrap fetches all versions from ready peers, or else from the platform, with
// backoff until the host is ready.
func (s *Syncer) bootstrap(ctx context.Context) {
	for round := 0; !s.Ready() && ctx.Err() == nil; round++ {
		if s.bootstrapFromPeers(ctx) {
			return
		}
		if round >= peerOnlyRounds && s.listOnce(ctx) {
			return
		}
		if !s.wait(ctx, s.cfg.backoff(round)) {
			return
		}
	}
}

// bootstrapFromPeers fetches the greatest versions of a few peers, in the zone first,
// and reports whether one of them was ready.
func (s *Syncer) bootstrapFromPeers(ctx context.Context) bool {
	if s.bootstrapFrom(ctx, s.samplePeers(s.opt.Peers.Live(), s.cfg.MaxZonePeers), true) {
		return true
	}
	return s.bootstrapFrom(ctx, s.samplePeers(s.opt.Peers.RemotePeers(), s.cfg.MaxRemotePeers), false)
}

func (s *Syncer) bootstrapFrom(ctx context.Context, peers []member.Peer, inZone bool) bool {
	ready := ""
	for _, p := range peers {
		a, err := s.call(ctx, p.Address, request{})
		if err != nil || !a.Digest.Ready {
			continue
		}
		s.recordDigest(p.Address, inZone, a.Digest)
		ready = string(p.Host)
	}
	if ready == "" || !s.fetchMissing(ctx) {
		return false
	}
	s.setReady(ready)
	return true
}

// samplePeers returns up to n random peers, excluding the own host.
func (s *Syncer) samplePeers(peers []member.Peer, n int) []member.Peer {
	self := s.opt.Peers.Self().Host
	peers = slices.DeleteFunc(slices.Clone(peers), func(p member.Peer) bool { return p.Host == self })
	s.mu.Lock()
	s.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.mu.Unlock()
	return peers[:min(n, len(peers))]
}
