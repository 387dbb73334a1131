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
	// clockDriftDivisor divides the TTL into the margin by which the holder counts it
	// shorter, and other processes longer, because clock rates differ.
	clockDriftDivisor = 20
)

// LeaseConfig configures a Lease.
type LeaseConfig struct {
	// Store holds the lease object. Required.
	Store objectapi.Store
	// Duty is the duty that the lease guards. Required.
	Duty Name
	// Holder identifies this process and must differ after each start. Required.
	Holder string
	// TTL is the lease duration after a renewal. Renew every TTL/3. Default: 10 s.
	TTL time.Duration
	// HolderDead reports that the process of a holder has ended, so that its lease
	// can be acquired before it expires. Nil means that this is never known.
	HolderDead func(holder string) bool
	// Now returns the time with a monotonic clock reading. Default: time.Now.
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

// leaseValue is the stored form of a lease. The object is not deleted in its era, so
// that fencing tokens never repeat.
type leaseValue struct {
	Holder string `json:"holder"`
	// Epoch is the fencing token. It grows with each change of the holder and with the era
	// of the store, which it holds in its high bits.
	Epoch uint64 `json:"epoch"`
	// TTL is in milliseconds.
	TTL int64 `json:"ttl_ms"`
	// Released permits another process to acquire the lease before it expires.
	Released bool `json:"released,omitempty"`
}

func (v leaseValue) ttl() time.Duration { return time.Duration(v.TTL) * time.Millisecond }

// Lease acquires, renews and releases a lease for one process. AcquireOrRenew and
// Release must not be called concurrently; all other methods are safe for
// concurrent use.
//
// The holder counts the TTL from before it sent the last confirmed write. Other
// processes count it on their own monotonic clock from after they first read the
// current version, so that wall clocks are never compared.
//
// When the store returns from an older copy, which an objectapi.EraSource shows, the lease is
// free but is acquired only a full TTL later, also by the process that held it: the write by
// which another one acquired it may be lost.
type Lease struct {
	cfg LeaseConfig

	// The fields up to mu belong to the goroutine that calls AcquireOrRenew.

	// stored is the last observed lease object, value its content.
	stored objectapi.Object
	value  leaseValue
	// storedSeenAt is when the version of stored was first observed.
	storedSeenAt time.Time
	// mustRead is true if the platform may hold a version other than stored.
	mustRead bool
	// era is the era of stored, and eraSeenAt when this process first knew it.
	era       uint64
	eraSeenAt time.Time
	// latestEpoch is the last fencing token seen in any era.
	latestEpoch uint64
	// former is the last lease object of the former eras once formerRead is true, and
	// formerTTL its TTL.
	former     objectapi.Object
	formerTTL  time.Duration
	formerRead bool

	mu sync.Mutex // leaf lock; guards the fields below
	// epoch is the fencing token while the lease is held, zero otherwise.
	epoch uint64
	// validUntil is the expiry of the lease on the holder's clock.
	validUntil time.Time
	// holder is the last observed holder, empty if unknown or released.
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
	return &Lease{cfg: cfg, mustRead: true}, nil
}

// Valid returns the fencing token and true if this process holds the lease at now.
// Callers must check it before each action; sent requests are fenced by the token.
func (l *Lease) Valid(now time.Time) (epoch uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.epoch, true
}

// ValidUntil returns the expiry of the lease on the holder's clock. It is
// meaningful only while Valid returns true.
func (l *Lease) ValidUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil
}

// Holder returns the last observed holder, or the empty string if it is unknown.
func (l *Lease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// setHolder updates the result of Holder.
func (l *Lease) setHolder(v leaseValue) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = v.Holder
	if v.Released {
		l.holder = ""
	}
}

// AcquireOrRenew acquires the lease if it is free, renews it if this process holds
// it, and otherwise only reads it. It blocks for at most two platform calls, and a few
// more after a rise of the era. An error leaves the validity of the lease unchanged.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	l.enterEra(objectapi.CurrentEra(l.cfg.Store))
	if l.mustRead || l.value.Holder != l.cfg.Holder {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	switch {
	case l.stored.Version == 0:
		return l.create(ctx)
	case l.value.Holder == l.cfg.Holder && !l.value.Released:
		return l.write(ctx, l.newValue(l.value.Epoch, false))
	case l.value.Released || l.expired(l.cfg.Now()) || l.cfg.HolderDead(l.value.Holder):
		epoch, err := l.nextEpoch()
		if err != nil {
			return err
		}
		return l.write(ctx, l.newValue(epoch, false))
	default:
		return nil
	}
}

// Release gives up the lease, so that another process can acquire it at once. It
// blocks on the platform. The lease is invalid from the start, even after an error.
func (l *Lease) Release(ctx context.Context) error {
	l.invalidate()
	l.enterEra(objectapi.CurrentEra(l.cfg.Store))
	if l.mustRead {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	if l.stored.Version == 0 || l.value.Holder != l.cfg.Holder || l.value.Released {
		return nil
	}
	return l.write(ctx, l.newValue(l.value.Epoch, true))
}

func (l *Lease) newValue(epoch uint64, released bool) leaseValue {
	return leaseValue{
		Holder: l.cfg.Holder, Epoch: epoch,
		TTL: l.cfg.TTL.Milliseconds(), Released: released,
	}
}

// expired reports whether another holder's lease has expired, clock drift included.
func (l *Lease) expired(now time.Time) bool {
	ttl := l.value.ttl()
	return now.Sub(l.storedSeenAt) >= ttl+ttl/clockDriftDivisor
}

func (l *Lease) read(ctx context.Context) error {
	o, err := l.get(ctx, l.objectName(l.era))
	if era := objectapi.CurrentEra(l.cfg.Store); era > l.era {
		// The answer belongs to the lease of a former era.
		l.enterEra(era)
		o, err = l.get(ctx, l.objectName(era))
	}
	if err != nil {
		return err
	}
	if era := objectapi.CurrentEra(l.cfg.Store); era > l.era {
		l.enterEra(era)
		return errors.Newf("the store returned from an older copy during a read of lease %q", string(l.cfg.Duty))
	}
	return l.observe(o)
}

// get returns a lease object, with version zero if it does not exist.
func (l *Lease) get(ctx context.Context, name string) (objectapi.Object, error) {
	o, err := l.cfg.Store.Get(ctx, LeaseKind, name)
	var notFound *objectapi.NotFoundError
	if errors.As(err, &notFound) {
		return objectapi.Object{}, nil
	}
	return o, err
}

// StaleReadError reports that the platform returned an older version of a lease than before.
type StaleReadError struct {
	Duty               Name
	Observed, Returned uint64
}

func (e *StaleReadError) Error() string {
	return fmt.Sprintf("stale read: the platform returned version %d of lease %q after version %d", e.Returned, string(e.Duty), e.Observed)
}

// observe records a lease object of the platform and invalidates a lost lease.
func (l *Lease) observe(o objectapi.Object) error {
	if o.Version < l.stored.Version {
		return &StaleReadError{Duty: l.cfg.Duty, Observed: l.stored.Version, Returned: o.Version}
	}
	var v leaseValue
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &v); err != nil {
			return errors.Wrapf(err, "decode lease %q", string(l.cfg.Duty))
		}
	}
	if o.Version > l.stored.Version {
		l.storedSeenAt = l.cfg.Now()
	}
	l.stored, l.value, l.mustRead = o, v, false
	l.latestEpoch = max(l.latestEpoch, v.Epoch)
	l.setHolder(v)
	if o.Version > 0 && (v.Holder != l.cfg.Holder || v.Released) {
		l.invalidate()
	}
	return nil
}

// write replaces the lease object by a conditional update. A confirmed update is
// valid for the TTL, less the drift margin, from before it was sent.
func (l *Lease) write(ctx context.Context, v leaseValue) error {
	value, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	sent := l.cfg.Now()
	o, err := l.cfg.Store.Put(ctx, objectapi.Object{
		Kind: LeaseKind, Name: l.objectName(l.era), Version: l.stored.Version, Value: value,
	})
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return l.handleConflict(conflict)
	}
	if err == nil && objectapi.CurrentEra(l.cfg.Store) > l.era {
		// The write may have changed the object of the former era, which nobody renews any more.
		err = errors.Newf("the store returned from an older copy during a write of lease %q", string(l.cfg.Duty))
	}
	if err != nil {
		l.mustRead = true
		return err
	}
	l.stored, l.value, l.storedSeenAt, l.mustRead = o, v, l.cfg.Now(), false
	l.latestEpoch = max(l.latestEpoch, v.Epoch)
	l.setHolder(v)
	if !v.Released {
		l.setValid(v.Epoch, sent.Add(l.cfg.TTL-l.cfg.TTL/clockDriftDivisor))
	}
	return nil
}

// handleConflict observes the object that won a conditional update.
func (l *Lease) handleConflict(conflict *objectapi.ConflictError) error {
	l.mustRead = true
	if conflict.Current.Version <= l.stored.Version {
		return conflict
	}
	return l.observe(conflict.Current)
}

func (l *Lease) setValid(epoch uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.validUntil = epoch, until
}

func (l *Lease) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = 0
}
