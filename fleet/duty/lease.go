package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// LeaseKind is the platform object kind of leases, with the duty as object name.
const LeaseKind = "lease"

const (
	defaultTTL = 10 * time.Second
	// driftDivisor divides the TTL into the margin that holder and taker each
	// keep for clocks that run at different rates.
	driftDivisor = 20
)

// LeaseConfig configures a Lease.
type LeaseConfig struct {
	// Store is the platform. Required.
	Store objectapi.Store
	// Duty names what is leased. Required.
	Duty Name
	// Holder identifies this process, different after each start. Required.
	Holder string
	// TTL is the time for which a renewal lasts. It should be renewed at a third of it. Default: 10 s.
	TTL time.Duration
	// HolderDead reports that a holder is known to have ended, so that its lease can be
	// taken at once. Default: no holder is.
	HolderDead func(holder string) bool
	// Now returns a time with a monotonic reading. Default: time.Now.
	Now func() time.Time
}

// Validate returns all findings in the configuration.
func (c LeaseConfig) Validate() finding.List {
	var l finding.List
	if c.Store == nil {
		l.Addf("store", "is not set")
	}
	if c.Duty == "" {
		l.Addf("duty", "is not set")
	}
	if c.Holder == "" {
		l.Addf("holder", "is not set")
	}
	if c.TTL < 0 {
		l.Addf("TTL", "%v is negative", c.TTL)
	}
	return l
}

// leaseValue is the stored form of a lease. The object is never deleted, so
// that epochs never repeat.
type leaseValue struct {
	Holder string `json:"holder"`
	// Epoch is the fencing number. It grows with each change of the holder.
	Epoch uint64 `json:"epoch"`
	// TTL is in milliseconds.
	TTL int64 `json:"ttl_ms"`
	// Released permits a take-over without a wait.
	Released bool `json:"released,omitempty"`
}

func (v leaseValue) ttl() time.Duration { return time.Duration(v.TTL) * time.Millisecond }

// Lease is one process's part in the lease of a duty. Step and Release must not
// be called at once; Valid may be called at any time.
//
// The holder counts its TTL from before it sent the write that was confirmed.
// A taker counts the TTL on its own monotonic clock from after it first saw the
// holder's last version, so that no wall clocks are compared.
type Lease struct {
	cfg LeaseConfig

	// The fields up to mu belong to the goroutine that calls Step.

	// seen is the last known stored object, value its content.
	seen  objectapi.Object
	value leaseValue
	// seenAt is when the version of seen was first seen.
	seenAt time.Time
	// doubtful is true if the stored version may differ from seen.
	doubtful bool

	mu sync.Mutex // leaf lock; guards the fields below
	// epoch is the fencing number held, zero for none.
	epoch uint64
	// validUntil is the end of the lease on the holder's clock.
	validUntil time.Time
	// holder is the last known holder, empty if it is not known.
	holder string
}

// NewLease returns a lease that is not held. The error holds all findings in cfg.
func NewLease(cfg LeaseConfig) (*Lease, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "lease")
	}
	if cfg.TTL == 0 {
		cfg.TTL = defaultTTL
	}
	if cfg.HolderDead == nil {
		cfg.HolderDead = func(string) bool { return false }
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Lease{cfg: cfg, doubtful: true}, nil
}

// Valid returns the fencing number if the lease is held at now. The holder must
// ask before each act; orders already sent are fenced by their epoch.
func (l *Lease) Valid(now time.Time) (epoch uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.epoch, true
}

// ValidUntil returns the end of the lease on the holder's clock. It is meaningful
// only while Valid returns true.
func (l *Lease) ValidUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil
}

// Holder returns the last known holder, or the empty text. It may have changed since.
func (l *Lease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// note makes the holder known to Holder.
func (l *Lease) note(v leaseValue) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = v.Holder
	if v.Released {
		l.holder = ""
	}
}

// AcquireOrRenew acquires the lease if it is free, renews it if it is held by this
// process, and otherwise observes the holder. It makes at most two calls and
// blocks on the platform. An error leaves the lease as it was.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if l.doubtful || l.value.Holder != l.cfg.Holder {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	switch {
	case l.seen.Version == 0:
		return l.write(ctx, l.own(1, false))
	case l.value.Holder == l.cfg.Holder && !l.value.Released:
		return l.write(ctx, l.own(l.value.Epoch, false))
	case l.value.Released || l.expired(l.cfg.Now()) || l.cfg.HolderDead(l.value.Holder):
		return l.write(ctx, l.own(l.value.Epoch+1, false))
	default:
		return nil
	}
}

// Release gives up the lease, so that another process can take it at once. The
// lease is no longer valid from the start of the call. It blocks on the platform.
func (l *Lease) Release(ctx context.Context) error {
	l.drop()
	if l.doubtful {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	if l.seen.Version == 0 || l.value.Holder != l.cfg.Holder || l.value.Released {
		return nil
	}
	return l.write(ctx, l.own(l.value.Epoch, true))
}

func (l *Lease) own(epoch uint64, released bool) leaseValue {
	return leaseValue{
		Holder: l.cfg.Holder, Epoch: epoch,
		TTL: l.cfg.TTL.Milliseconds(), Released: released,
	}
}

// expired reports whether the lease of another holder has ended for certain.
func (l *Lease) expired(now time.Time) bool {
	ttl := l.value.ttl()
	return now.Sub(l.seenAt) >= ttl+ttl/driftDivisor
}

func (l *Lease) read(ctx context.Context) error {
	o, err := l.cfg.Store.Get(ctx, LeaseKind, string(l.cfg.Duty))
	var notFound *objectapi.NotFoundError
	if errors.As(err, &notFound) {
		o, err = objectapi.Object{}, nil
	}
	if err != nil {
		return err
	}
	return l.observe(o)
}

// StaleReadError reports that the platform showed an older version of a lease than before.
type StaleReadError struct {
	Duty        Name
	Seen, Shown uint64
}

func (e *StaleReadError) Error() string {
	return fmt.Sprintf("the platform shows version %d of the lease %q after version %d", e.Shown, string(e.Duty), e.Seen)
}

// observe takes note of the stored object.
func (l *Lease) observe(o objectapi.Object) error {
	if o.Version < l.seen.Version {
		return &StaleReadError{Duty: l.cfg.Duty, Seen: l.seen.Version, Shown: o.Version}
	}
	var v leaseValue
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &v); err != nil {
			return errors.Wrapf(err, "lease %q cannot be decoded", string(l.cfg.Duty))
		}
	}
	if o.Version > l.seen.Version {
		l.seenAt = l.cfg.Now()
	}
	l.seen, l.value, l.doubtful = o, v, false
	l.note(v)
	if v.Holder != l.cfg.Holder || v.Released {
		l.drop()
	}
	return nil
}

// write replaces the stored lease by a conditional update. If that is confirmed,
// the lease is valid from before the write was sent.
func (l *Lease) write(ctx context.Context, v leaseValue) error {
	value, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "lease cannot be encoded")
	}
	sent := l.cfg.Now()
	o, err := l.cfg.Store.Put(ctx, objectapi.Object{
		Kind: LeaseKind, Name: string(l.cfg.Duty), Version: l.seen.Version, Value: value,
	})
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return l.lose(conflict)
	}
	if err != nil {
		l.doubtful = true
		return err
	}
	l.seen, l.value, l.seenAt, l.doubtful = o, v, l.cfg.Now(), false
	l.note(v)
	if !v.Released {
		l.hold(v.Epoch, sent.Add(l.cfg.TTL-l.cfg.TTL/driftDivisor))
	}
	return nil
}

// lose takes note of the object that won a conditional update.
func (l *Lease) lose(conflict *objectapi.ConflictError) error {
	l.doubtful = true
	if conflict.Current.Version <= l.seen.Version {
		return conflict
	}
	return l.observe(conflict.Current)
}

func (l *Lease) hold(epoch uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.validUntil = epoch, until
}

func (l *Lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = 0
}
