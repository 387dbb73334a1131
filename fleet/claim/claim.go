// Package claim commits at-most-once claims of caller-made idempotency keys in
// the platform, before the action is dispatched.
//
// Claims are spread over shards by the hash of team, service and key. A shard
// has a head object and numbered segments. Claims are appended to the active
// segment by conditional updates, many in one write. A full segment is sealed
// by a conditional update, which makes late appends fail; then the next segment
// is created empty, and then the head is moved to it. A claim is appended only
// after every segment from the head's floor to the active one was searched, so
// that the conditional update of the active segment decides.
//
// The package relies on clocks that differ by at most MaxSkew between the
// processes and on a platform whose versions never repeat.
package claim

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// Config configures a Claimer.
type Config struct {
	// Store is the platform. Required.
	Store objectapi.Store
	// Shards is the number of shards, the same in all processes for good. Default: 4.
	Shards int
	// Retention is the age at which a key expires. Default: 1 h.
	Retention time.Duration
	// MaxSkew bounds how far a key's time may lie in the future and how far the
	// clocks of two processes may differ. Default: 10 s.
	MaxSkew time.Duration
	// SegmentBytes is the size at which a segment is sealed. Default: 16 KiB. At most 512 KiB.
	SegmentBytes int
	// SegmentAge is the age at which a segment is sealed. Default: 5 min.
	SegmentAge time.Duration
	// Timeout bounds the wait of a claim. Default: 500 ms.
	Timeout time.Duration
	// FlushTimeout bounds the work on one batch in the background. Default: 5 s.
	FlushTimeout time.Duration
	// MaxAttempts bounds the steps of a batch in a row that answer no claim. Default: 50.
	MaxAttempts int
	// Now returns the wall time. Default: time.Now.
	Now func() time.Time
}

const (
	defaultShards       = 4
	maxShards           = 1 << 12
	defaultRetention    = time.Hour
	defaultMaxSkew      = 10 * time.Second
	defaultSegmentBytes = 16 << 10
	maxSegmentBytes     = objectapi.MaxValueBytes / 2
	defaultSegmentAge   = 5 * time.Minute
	defaultTimeout      = 500 * time.Millisecond
	defaultFlushTimeout = 5 * time.Second
	defaultMaxAttempts  = 50
	// maxWaiting bounds the claims that wait in a shard.
	maxWaiting = 1 << 16
)

// Validate returns all findings in the configuration.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.Store == nil {
		l.Addf("store", "is not set")
	}
	if c.Shards < 0 || c.Shards > maxShards {
		l.Addf("shards", "%d is outside 0 to %d", c.Shards, maxShards)
	}
	if c.SegmentBytes < 0 || c.SegmentBytes > maxSegmentBytes {
		l.Addf("segment bytes", "%d is outside 0 to %d", c.SegmentBytes, maxSegmentBytes)
	}
	if c.MaxAttempts < 0 {
		l.Addf("attempts", "%d is negative", c.MaxAttempts)
	}
	for _, d := range []struct {
		place string
		value time.Duration
	}{
		{"retention", c.Retention},
		{"skew", c.MaxSkew},
		{"segment age", c.SegmentAge},
		{"timeout", c.Timeout},
		{"flush timeout", c.FlushTimeout},
	} {
		if d.value < 0 {
			l.Addf(d.place, "%v is negative", d.value)
		}
	}
	return l
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c *Config) provision() {
	orDefault(&c.Shards, defaultShards)
	orDefault(&c.Retention, defaultRetention)
	orDefault(&c.MaxSkew, defaultMaxSkew)
	orDefault(&c.SegmentBytes, defaultSegmentBytes)
	orDefault(&c.SegmentAge, defaultSegmentAge)
	orDefault(&c.Timeout, defaultTimeout)
	orDefault(&c.FlushTimeout, defaultFlushTimeout)
	orDefault(&c.MaxAttempts, defaultMaxAttempts)
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Claimer commits claims. It is safe for concurrent use.
type Claimer struct {
	cfg    Config
	shards []*shard
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Claimer. The error holds all findings in cfg.
func New(cfg Config) (*Claimer, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	cfg.provision()
	c := &Claimer{cfg: cfg}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for i := range cfg.Shards {
		c.shards = append(c.shards, &shard{claimer: c, kind: shardKind(i)})
	}
	return c, nil
}

// Close ends the work in the background and waits for it.
func (c *Claimer) Close() {
	c.cancel()
	c.wg.Wait()
}

func shardKind(i int) string { return fmt.Sprintf("claims-%04d", i) }

// Request is the wish to claim a key.
type Request struct {
	Team    id.Team
	Service id.Service
	Key     Key
	// Payload is the hash of the request's payload.
	Payload Hash
	// Target is where the claimant would run the action.
	Target Target
	// Nonce identifies the claimant. One call that tries again, also through
	// another process, keeps its nonce and so recognizes its own claim. Two calls
	// must not share one. Zero is replaced by a random number.
	Nonce uint64
}

// Result is the committed claim of a key.
type Result struct {
	Record Record
	// Owned is true if the claim is that of the request's nonce. Only then may the
	// caller dispatch the action; otherwise it reattaches to the record's target.
	Owned bool
}

// Claim commits a claim of a key or returns the one that exists. It blocks for
// at most Timeout. The error is an *ExpiredError, *FutureError,
// *PayloadMismatchError, *UnavailableError or *OutcomeUnknownError; after each
// of them the caller must not dispatch.
func (c *Claimer) Claim(ctx context.Context, r Request) (Result, error) {
	if err := c.checkTime(r.Key); err != nil {
		return Result{}, err
	}
	if r.Nonce == 0 {
		r.Nonce = NewNonce()
	}
	p := &pending{request: r, hash: HashKey(r.Team, r.Service, r.Key), done: make(chan answer, 1)}
	return c.submit(ctx, p)
}

// NewNonce returns a random number for a Request.
func NewNonce() uint64 { return rand.Uint64() }

// Lookup returns the claim of a key, if there is one. It blocks for at most
// Timeout. The error is as for Claim, or a *NotClaimedError.
func (c *Claimer) Lookup(ctx context.Context, team id.Team, service id.Service, key Key) (Record, error) {
	if err := c.checkTime(key); err != nil {
		return Record{}, err
	}
	r := Request{Team: team, Service: service, Key: key}
	p := &pending{request: r, hash: HashKey(team, service, key), lookup: true, done: make(chan answer, 1)}
	result, err := c.submit(ctx, p)
	return result.Record, err
}

func (c *Claimer) submit(ctx context.Context, p *pending) (Result, error) {
	s := c.shards[c.shardOf(p.hash)]
	if err := s.enqueue(p); err != nil {
		return Result{}, err
	}
	timer := time.NewTimer(c.cfg.Timeout)
	defer timer.Stop()
	select {
	case a := <-p.done:
		return a.result, a.err
	case <-timer.C:
		return s.abandon(p, errTimeout)
	case <-ctx.Done():
		return s.abandon(p, ctx.Err())
	}
}

func (c *Claimer) shardOf(h Hash) int {
	return int(binary.BigEndian.Uint64(h[:]) % uint64(len(c.shards)))
}

// checkTime refuses a key that is expired or from the future.
func (c *Claimer) checkTime(k Key) error {
	now := c.cfg.Now()
	created := k.Time()
	if now.Sub(created) >= c.cfg.Retention {
		return &ExpiredError{Key: k, Created: created, Retention: c.cfg.Retention}
	}
	if created.Sub(now) > c.cfg.MaxSkew {
		return &FutureError{Key: k, Created: created, MaxSkew: c.cfg.MaxSkew}
	}
	return nil
}
