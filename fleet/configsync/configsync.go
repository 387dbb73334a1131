package configsync

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/core/timer"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/transport"
)

// Event kinds recorded by a Syncer.
const (
	// EventApplied is recorded when a version comes into force.
	EventApplied timeline.Kind = "config.applied"
	// EventRejected is recorded when a version cannot be applied.
	EventRejected timeline.Kind = "config.rejected"
	// EventPlatformBehind is recorded when the platform returns a lower version than the one in force.
	EventPlatformBehind timeline.Kind = "config.platform-behind"
	// EventReader is recorded when the host starts or stops watching the platform for its zone.
	EventReader timeline.Kind = "config.reader"
	// EventReady is recorded when the host has bootstrapped its configuration.
	EventReady timeline.Kind = "config.ready"
)

// Applier holds the configuration in force. It must be safe for concurrent use and
// must not block for long.
type Applier interface {
	// Versions returns the versions in force.
	Versions() map[config.Kind]uint64
	// Apply puts a version into force. It ignores, without error, a version that is
	// not greater than the one in force.
	Apply(kind config.Kind, version uint64, value []byte) error
	// Value returns the version in force and its value, or version zero if there is none.
	Value(kind config.Kind) (uint64, []byte)
}

// Peers provides the membership. member.Runner implements it.
type Peers interface {
	// Self returns the own host.
	Self() member.Peer
	// Live returns the live hosts of the zone, the own included.
	Live() []member.Peer
	// RemotePeers returns hosts of other zones in order of preference.
	RemotePeers() []member.Peer
	// Owns reports whether the own host ranks first of the live hosts for key.
	Owns(key string) bool
}

// Options are the dependencies of a Syncer.
type Options struct {
	Config  Config
	Zone    id.Zone
	Store   objectapi.Store
	Applier Applier
	Peers   Peers
	Caller  transport.Caller
	// Recorder receives events. Nil discards them.
	Recorder timeline.Recorder
	// Seed seeds the jitter and the choice of peers.
	Seed uint64
}

// source is a host that reported a version in its digest.
type source struct {
	address string
	version uint64
	inZone  bool
}

// pushWorkers is the maximum number of pushes that a host forwards concurrently.
const pushWorkers = 4

// maxPushes is the maximum number of pushes queued for a worker.
const maxPushes = 16

// maxSources is the maximum number of sources kept per kind.
const maxSources = 8

// Syncer replicates the configuration to one process. It is safe for concurrent use.
type Syncer struct {
	opt Options
	cfg Config

	mu             sync.Mutex // guards the fields below; no call is made while it is held
	rng            *rand.Rand
	ready          bool
	sources        map[config.Kind][]source
	rejected       map[config.Kind]uint64
	platformBehind map[config.Kind]uint64
	encodedDigest  []byte

	// applying serialises calls of the Applier. It is taken before mu.
	applying sync.Mutex

	missing chan struct{} // signals that a version may be missing
	pushes  chan push
}

// New returns a Syncer, which Run starts.
func New(o Options) (*Syncer, error) {
	if err := o.Config.Validate(); err != nil {
		return nil, err
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	s := &Syncer{
		opt:            o,
		cfg:            o.Config,
		rng:            rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(string(o.Zone)))),
		sources:        make(map[config.Kind][]source),
		rejected:       make(map[config.Kind]uint64),
		platformBehind: make(map[config.Kind]uint64),
		missing:        make(chan struct{}, 1),
		pushes:         make(chan push, maxPushes),
	}
	s.updateDigest()
	return s, nil
}

// Run runs the protocol until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.runReader(ctx) })
	wg.Go(func() { s.recoverMissing(ctx) })
	wg.Go(func() { s.bootstrap(ctx) })
	for range pushWorkers {
		wg.Go(func() { s.runPushes(ctx) })
	}
	wg.Wait()
}

// Ready reports whether the configuration was bootstrapped, from a peer that is
// ready or from a list of the platform, which may be empty.
func (s *Syncer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

func (s *Syncer) setReady(from string) {
	s.mu.Lock()
	before := s.ready
	s.ready = true
	s.mu.Unlock()
	if !before {
		s.opt.Recorder.Record(timeline.Event{Kind: EventReady, Detail: "configuration from " + from})
		s.updateDigest()
	}
}

// EncodedDigest returns the encoded Digest to piggyback on heartbeats.
func (s *Syncer) EncodedDigest() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encodedDigest
}

func (s *Syncer) digest() Digest {
	return Digest{Versions: s.opt.Applier.Versions(), Ready: s.Ready()}
}

func (s *Syncer) updateDigest() {
	encoded, err := encode(s.digest())
	if err != nil {
		return
	}
	s.mu.Lock()
	s.encodedDigest = encoded
	s.mu.Unlock()
}

// HandleDigest processes the encoded digest of another host. It does not block.
func (s *Syncer) HandleDigest(from member.Peer, zone id.Zone, encoded []byte) {
	var d Digest
	if err := decode(encoded, &d); err != nil {
		return
	}
	s.recordDigest(from.Address, zone == s.opt.Zone, d)
}

// recordDigest records a host as source of greater versions and wakes the recovery.
func (s *Syncer) recordDigest(address string, inZone bool, d Digest) {
	if len(d.Versions) == 0 {
		return
	}
	own := s.opt.Applier.Versions()
	s.mu.Lock()
	defer s.mu.Unlock()
	wake := false
	for _, kind := range config.Kinds() {
		v := d.Versions[kind]
		if v <= own[kind] || v == s.rejected[kind] {
			continue
		}
		s.addSource(kind, source{address: address, version: v, inZone: inZone})
		wake = true
	}
	if wake {
		s.signalMissing()
	}
}

func (s *Syncer) addSource(kind config.Kind, n source) {
	list := s.sources[kind]
	for i := range list {
		if list[i].address == n.address {
			list[i] = n
			return
		}
	}
	if len(list) >= maxSources {
		list = list[1:]
	}
	s.sources[kind] = append(list, n)
}

func (s *Syncer) signalMissing() {
	select {
	case s.missing <- struct{}{}:
	default:
	}
}

// apply puts a version into force if it is greater than the one in force, and
// reports whether it did.
func (s *Syncer) apply(kind config.Kind, version uint64, value []byte, from string) bool {
	s.applying.Lock()
	defer s.applying.Unlock()
	if version <= s.opt.Applier.Versions()[kind] {
		return false
	}
	if err := s.opt.Applier.Apply(kind, version, value); err != nil {
		s.reject(kind, version, err)
		return false
	}
	s.mu.Lock()
	delete(s.sources, kind)
	s.mu.Unlock()
	s.updateDigest()
	s.opt.Recorder.Record(timeline.Event{
		Kind:   EventApplied,
		Detail: fmt.Sprintf("%s version %d from %s", kind, version, from),
	})
	return true
}

func (s *Syncer) reject(kind config.Kind, version uint64, err error) {
	s.mu.Lock()
	known := s.rejected[kind] == version
	s.rejected[kind] = version
	delete(s.sources, kind)
	s.mu.Unlock()
	if !known {
		s.opt.Recorder.Record(timeline.Event{
			Kind:   EventRejected,
			Detail: fmt.Sprintf("%s version %d: %v", kind, version, err),
		})
	}
}

// Handle processes a call of another host. It is a transport.Handler.
func (s *Syncer) Handle(_ context.Context, payload []byte) ([]byte, error) {
	var r request
	if err := decode(payload, &r); err != nil {
		return nil, err
	}
	var a response
	if r.Push != nil {
		if err := s.handlePush(*r.Push); err != nil {
			return nil, err
		}
	}
	if r.Fetch != "" {
		o, err := s.object(r.Fetch)
		if err != nil {
			return nil, err
		}
		a.Object = o
	}
	a.Digest = s.digest()
	a.Digest.Versions = maps.Clone(a.Digest.Versions)
	return encode(a)
}

func (s *Syncer) object(kind config.Kind) (*object, error) {
	version, value := s.opt.Applier.Value(kind)
	if version == 0 {
		return nil, nil
	}
	deflated, err := Deflate(value)
	if err != nil {
		return nil, err
	}
	return &object{Kind: kind, Version: version, Value: deflated}, nil
}

// wait sleeps for a random time between d/2 and d. It returns false if ctx ended.
func (s *Syncer) wait(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	d = d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
	s.mu.Unlock()
	return timer.Sleep(ctx, d) == nil
}

// backoff returns the exponential delay after consecutive failures.
func (c Config) backoff(failures int) time.Duration {
	d := c.BackoffMin
	for range failures {
		d *= 2
		if d >= c.BackoffMax {
			return c.BackoffMax
		}
	}
	return d
}
