package duty

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

const (
	// sequenceBits is the number of low bits of a fencing token that count the holders of an
	// era; the others hold the era. balance/mapswitch derives from a token below 2^32 versions
	// that are exact as JSON numbers.
	sequenceBits = 20
	maxSequence  = 1<<sequenceBits - 1
	maxEra       = 1<<12 - 1
	// lostHolders is the room for holders whose writes a return lost and that the next holder does
	// not know of. Sequences go on above them, since consecutive tokens must differ in their
	// sequences as well. A takeover takes a TTL unless the holder has ended, and a copy is a few
	// seconds old.
	lostHolders = 4
	// maxFormerEras bounds the former eras in which the last lease is looked for.
	maxFormerEras = 4
)

// objectName returns the name of the lease object of an era. Each era has its own one, so that
// a late write of a former era cannot change the lease of the current one: revisions are given
// out again, and its condition may hold by chance.
func (l *Lease) objectName(era uint64) string {
	if era == 0 {
		return string(l.cfg.Duty)
	}
	return string(l.cfg.Duty) + ".era-" + strconv.FormatUint(era, 10)
}

// enterEra forgets the lease object of a former era. A lease that this process holds by it is
// valid to its end: it was confirmed before the store returned, and no other process acquires
// the new one earlier.
func (l *Lease) enterEra(era uint64) {
	if era <= l.era {
		return
	}
	l.era, l.eraSeenAt = era, l.cfg.Now()
	l.stored, l.value, l.mustRead = objectapi.Object{}, leaseValue{}, true
	l.formerRead, l.formerTTL, l.former = false, 0, objectapi.Object{}
	l.setHolder(leaseValue{})
}

// readFormer reads the last lease of the former eras in the store's copy, once in an era.
func (l *Lease) readFormer(ctx context.Context) error {
	if l.formerRead {
		return nil
	}
	for back := uint64(1); back <= min(l.era, maxFormerEras); back++ {
		o, err := l.get(ctx, l.objectName(l.era-back))
		if err != nil {
			return err
		}
		if o.Version == 0 {
			continue
		}
		var v leaseValue
		if err := json.Unmarshal(o.Value, &v); err != nil {
			return errors.Wrapf(err, "decode lease %q", o.Name)
		}
		l.former, l.formerTTL, l.latestEpoch = o, v.ttl(), max(l.latestEpoch, v.Epoch)
		break
	}
	l.formerRead = true
	return nil
}

// holdersOfFormerEraGone reports whether all leases of former eras have expired, clock drift
// included. Each was confirmed before this process first knew the era.
func (l *Lease) holdersOfFormerEraGone(now time.Time) bool {
	ttl := max(l.cfg.TTL, l.formerTTL)
	return l.era == 0 || now.Sub(l.eraSeenAt) >= ttl+ttl/clockDriftDivisor
}

// create creates the lease of the era once no holder of a former era can act.
func (l *Lease) create(ctx context.Context) error {
	if l.era > 0 {
		if err := l.readFormer(ctx); err != nil {
			return err
		}
		if !l.holdersOfFormerEraGone(l.cfg.Now()) {
			return nil
		}
	}
	epoch, err := l.nextEpoch()
	if err != nil {
		return err
	}
	if err := l.write(ctx, l.newValue(epoch, false)); err != nil {
		return err
	}
	l.removeFormer(ctx)
	return nil
}

// removeFormer deletes the lease object of a former era. If that fails, it stays without effect.
func (l *Lease) removeFormer(ctx context.Context) {
	if l.former.Version == 0 {
		return
	}
	_ = l.cfg.Store.Delete(ctx, LeaseKind, l.former.Name, l.former.Version)
	l.former = objectapi.Object{}
}

// nextEpoch returns the fencing token of the next holder. It is greater than all tokens of
// earlier eras and of the current one.
func (l *Lease) nextEpoch() (uint64, error) {
	next := l.value.Epoch + 1
	if l.era == 0 {
		return next, nil
	}
	if l.stored.Version == 0 {
		next = l.era<<sequenceBits | (l.latestEpoch&maxSequence+lostHolders)&(maxSequence/2)
	}
	if l.era > maxEra || next>>sequenceBits != l.era {
		return 0, errors.Newf("fencing tokens of lease %q are used up: token %d in era %d", string(l.cfg.Duty), next, l.era)
	}
	return next, nil
}
