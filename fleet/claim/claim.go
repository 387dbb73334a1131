// Package claim commits claims of client-generated idempotency keys in the platform,
// at most one for each key, before the action is dispatched.
//
// Claims are sharded by the hash of team, service and key. A shard consists of a head
// object and numbered segments. Claims are appended in batches to the active segment
// by conditional updates. A full segment is sealed by a conditional update, which
// makes late appends fail; then the next segment is created empty, and then the
// head is moved to it. A claim is appended only after all segments from the head's
// floor to the active one were searched for its key, so that the conditional update
// of the active segment decides between concurrent claims.
//
// The package requires that the clocks of the processes differ by at most MaxSkew
// and that the platform never reuses a version.
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
	// Shards is the number of shards. It must be equal in all processes and must not
	// change. Default: 4.
	Shards int
	// Retention is the age at which a key expires. Default: 1 h.
	Retention time.Duration
	// MaxSkew bounds the difference between the clocks of two processes and how far the
	// creation time of a key may be in the future. Default: 10 s.
	MaxSkew time.Duration
	// SegmentBytes is the size at which a segment is sealed. Default: 16 KiB. At most 512 KiB.
	SegmentBytes int
	// SegmentAge is the age at which a segment is sealed. Default: 5 min.
	SegmentAge time.Duration
	// Timeout bounds the time for which Claim and Lookup block. Default: 500 ms.
	Timeout time.Duration
	// FlushTimeout bounds the background processing of a batch. Default: 5 s.
	FlushTimeout time.Duration
	// MaxAttempts bounds the consecutive attempts of a batch that answer no claim. Default: 50.
	MaxAttempts int
	// Now returns the wall-clock time. Default: time.Now.
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
	// maxWaitingClaims bounds the queue of a shard.
	maxWaitingClaims = 1 << 16
)

// Validate returns a finding for each invalid setting.
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

func (c *Config) setDefaults() {
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

// New returns a Claimer. The error lists all invalid settings.
func New(cfg Config) (*Claimer, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	cfg.setDefaults()
	c := &Claimer{cfg: cfg}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for i := range cfg.Shards {
		c.shards = append(c.shards, &shard{claimer: c, kind: shardKind(i)})
	}
	return c, nil
}

// Close cancels the background processing and waits for it to end.
func (c *Claimer) Close() {
	c.cancel()
	c.wg.Wait()
}

func shardKind(i int) string { return fmt.Sprintf("claims-%04d", i) }

// Request asks for the claim of a key.
type Request struct {
	Team    id.Team
	Service id.Service
	Key     Key
	// Payload is the hash of the request's payload.
	Payload Hash
	// Target is recorded as the place to run the action if this request claims the key.
	Target Target
	// Nonce identifies the claimant. A retry, also through another process, uses the
	// same nonce to recognize a claim made by the first attempt. Two claimants must
	// not share a nonce. Zero is replaced by a random number.
	Nonce uint64
}

// Result is the committed claim of a key.
type Result struct {
	Record Record
	// Owned is true if the claim was made with the request's nonce. Only then may the
	// caller dispatch the action; otherwise it reattaches to the record's target.
	Owned bool
}

// Claim commits a claim of a key or returns the existing one. It blocks for at
// most Timeout. The error is an *ExpiredError, *FutureError, *PayloadMismatchError,
// *UnavailableError or *OutcomeUnknownError; after any of them the caller must not
// dispatch the action.
func (c *Claimer) Claim(ctx context.Context, r Request) (Result, error) {
	if err := c.checkKeyTime(r.Key); err != nil {
		return Result{}, err
	}
	if r.Nonce == 0 {
		r.Nonce = NewNonce()
	}
	p := &pending{request: r, hash: HashKey(r.Team, r.Service, r.Key), done: make(chan answer, 1)}
	return c.submit(ctx, p)
}

// NewNonce returns a random nonce for a Request.
func NewNonce() uint64 { return rand.Uint64() }

// Lookup returns the claim of a key. It blocks for at most Timeout. The error is a
// *NotClaimedError if there is no claim, or as for Claim.
func (c *Claimer) Lookup(ctx context.Context, team id.Team, service id.Service, key Key) (Record, error) {
	if err := c.checkKeyTime(key); err != nil {
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

// checkKeyTime rejects a key that has expired or is from the future.
func (c *Claimer) checkKeyTime(k Key) error {
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
