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

// Kinds of events that a Spreader records.
const (
	// EventApplied tells that a version came into force.
	EventApplied timeline.Kind = "config.applied"
	// EventRejected tells that a version could not be applied.
	EventRejected timeline.Kind = "config.rejected"
	// EventPlatformBehind tells that the platform showed a lower version than the one in force.
	EventPlatformBehind timeline.Kind = "config.platform-behind"
	// EventReader tells that the host started or stopped watching the platform for its zone.
	EventReader timeline.Kind = "config.reader"
	// EventReady tells that the host knows a configuration to work with.
	EventReady timeline.Kind = "config.ready"
)

// Applier holds the configuration in force. It is safe for concurrent use and
// must not block for long.
type Applier interface {
	// Versions returns the version in force of each kind that has one.
	Versions() map[config.Kind]uint64
	// Apply brings a version into force. A version that is not greater than the
	// one in force is ignored without error.
	Apply(kind config.Kind, version uint64, value []byte) error
	// Value returns the version in force and its value, or version zero.
	Value(kind config.Kind) (uint64, []byte)
}

// Peers tells which hosts can be called. member.Runner implements it.
type Peers interface {
	// Self returns the own host.
	Self() member.Peer
	// Live returns the live hosts of the zone, the own included.
	Live() []member.Peer
	// RemotePeers returns hosts of other zones, the best first.
	RemotePeers() []member.Peer
	// Owns reports whether the own host is first among the live hosts for key.
	Owns(key string) bool
}

// Options are the parts of a process that a Spreader works with.
type Options struct {
	Config  Config
	Zone    id.Zone
	Store   objectapi.Store
	Applier Applier
	Peers   Peers
	Caller  transport.Caller
	// Recorder receives events. Nil discards them.
	Recorder timeline.Recorder
	// Seed selects jitter and peers.
	Seed uint64
}

// source is a host that showed a version.
type source struct {
	address string
	version uint64
	inZone  bool
}

// pushWorkers bounds the pushes that a host passes on at the same time.
const pushWorkers = 4

// maxPushes bounds the pushes that wait for a worker.
const maxPushes = 16

// maxSources bounds the hosts remembered for a version that is missing.
const maxSources = 8

// Syncer keeps the configuration of one process up to date. It is safe for
// concurrent use.
type Syncer struct {
	opt Options
	cfg Config

	mu       sync.Mutex // guards the fields below; no call is made while it is held
	rng      *rand.Rand
	ready    bool
	sources  map[config.Kind][]source
	rejected map[config.Kind]uint64
	behind   map[config.Kind]uint64
	note     []byte

	// applying serialises calls of the Applier. It is taken before mu.
	applying sync.Mutex

	missing chan struct{} // holds one signal while a version may be missing
	pushes  chan push
}

// New returns a spreader. Run must be called for it to work.
func New(o Options) (*Syncer, error) {
	if err := o.Config.Validate(); err != nil {
		return nil, err
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	s := &Syncer{
		opt:      o,
		cfg:      o.Config,
		rng:      rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(string(o.Zone)))),
		sources:  make(map[config.Kind][]source),
		rejected: make(map[config.Kind]uint64),
		behind:   make(map[config.Kind]uint64),
		missing:  make(chan struct{}, 1),
		pushes:   make(chan push, maxPushes),
	}
	s.renewNote()
	return s, nil
}

// Run works until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.read(ctx) })
	wg.Go(func() { s.catchUp(ctx) })
	wg.Go(func() { s.bootstrap(ctx) })
	for range pushWorkers {
		wg.Go(func() { s.forward(ctx) })
	}
	wg.Wait()
}

// Ready reports whether the process knows a configuration to work with: one of
// a peer that is ready, or what the platform showed, which may be none.
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
		s.renewNote()
	}
}

// EncodedDigest returns the encoded digest, which rides on heartbeats.
func (s *Syncer) EncodedDigest() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.note
}

func (s *Syncer) digest() Digest {
	return Digest{Versions: s.opt.Applier.Versions(), Ready: s.Ready()}
}

func (s *Syncer) renewNote() {
	note, err := encode(s.digest())
	if err != nil {
		return
	}
	s.mu.Lock()
	s.note = note
	s.mu.Unlock()
}

// HandleDigest takes in the digest of another host. It does not block.
func (s *Syncer) HandleDigest(from member.Peer, zone id.Zone, note []byte) {
	var d Digest
	if err := decode(note, &d); err != nil {
		return
	}
	s.learn(from.Address, zone == s.opt.Zone, d)
}

// learn remembers a host that has a greater version and wakes the recovery.
func (s *Syncer) learn(address string, inZone bool, d Digest) {
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
		s.remember(kind, source{address: address, version: v, inZone: inZone})
		wake = true
	}
	if wake {
		s.signal()
	}
}

func (s *Syncer) remember(kind config.Kind, n source) {
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

func (s *Syncer) signal() {
	select {
	case s.missing <- struct{}{}:
	default:
	}
}

// apply brings a version into force if it is greater than the one in force, and
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
	s.renewNote()
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

// Handle answers a call of another host. It is a transport.Handler.
func (s *Syncer) Handle(_ context.Context, payload []byte) ([]byte, error) {
	var r request
	if err := decode(payload, &r); err != nil {
		return nil, err
	}
	var a answer
	if r.Push != nil {
		if err := s.takePush(*r.Push); err != nil {
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

// wait blocks for a time between half of d and d. It reports false if ctx ended.
func (s *Syncer) wait(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	d = d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
	s.mu.Unlock()
	return timer.Sleep(ctx, d) == nil
}

// backoff returns the wait after a number of failures in a row.
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
