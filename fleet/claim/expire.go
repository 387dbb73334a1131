package claim

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// Expire seals segments past their age and deletes those whose keys are all
// expired on every clock. It makes one list call for each shard and blocks on
// the platform. Any process may call it; several at once do no harm.
func (c *Claimer) Expire(ctx context.Context) error {
	var all error
	for _, s := range c.shards {
		all = errors.CombineErrors(all, s.expire(ctx))
	}
	return all
}

func (s *shard) expire(ctx context.Context) error {
	objects, err := s.list(ctx)
	if err != nil {
		return err
	}
	o, ok := objects[headName]
	if !ok {
		return nil
	}
	h, err := decodeHead(o.Value)
	if err != nil {
		return err
	}
	if err := s.sealOld(ctx, objects[segmentName(h.Active)]); err != nil {
		return err
	}
	floor, err := s.nextFloor(h, objects)
	if err != nil {
		return err
	}
	if floor > h.Floor {
		// The floor moves first, so that no process misses a segment it must search.
		_, err := s.putHead(ctx, head{Active: h.Active, Floor: floor}, o.Version)
		if err != nil {
			return ignoreConflict(err)
		}
	}
	return s.deleteBelow(ctx, floor, objects)
}

// sealOld seals the active segment if its first claim is past the age.
func (s *shard) sealOld(ctx context.Context, o objectapi.Object) error {
	if o.Version == 0 {
		return nil
	}
	active, err := decodeSegment(o.Value)
	if err != nil {
		return err
	}
	if active.sealed || active.len() == 0 || s.claimer.cfg.Now().Sub(active.oldest()) < s.claimer.cfg.SegmentAge {
		return nil
	}
	active.sealed = true
	if o.Value, err = active.encode(); err != nil {
		return err
	}
	o.WriteID = ""
	_, err = s.claimer.cfg.Store.Put(ctx, o)
	return ignoreConflict(err)
}

// nextFloor returns the number of the oldest segment with a key that may be
// unexpired on some clock. A key is at most MaxSkew younger than its claim, and
// the clock of another process at most MaxSkew behind.
func (s *shard) nextFloor(h head, objects map[string]objectapi.Object) (uint64, error) {
	keep := s.claimer.cfg.Retention + 2*s.claimer.cfg.MaxSkew
	for number := h.Floor; number < h.Active; number++ {
		o, ok := objects[segmentName(number)]
		if !ok {
			return 0, &objectapi.NotFoundError{Kind: s.kind, Name: segmentName(number)}
		}
		seg, err := decodeSegment(o.Value)
		if err != nil {
			return 0, err
		}
		if !seg.sealed || s.claimer.cfg.Now().Sub(seg.newest()) <= keep {
			return number, nil
		}
	}
	return h.Active, nil
}

// deleteBelow deletes the segments below the floor, those left by an earlier call too.
func (s *shard) deleteBelow(ctx context.Context, floor uint64, objects map[string]objectapi.Object) error {
	for name, o := range objects {
		number, err := strconv.ParseUint(name, 10, 64)
		if err != nil || number >= floor {
			continue
		}
		err = s.claimer.cfg.Store.Delete(ctx, s.kind, name, o.Version)
		var notFound *objectapi.NotFoundError
		if err := ignoreConflict(err); err != nil && !errors.As(err, &notFound) {
			return err
		}
	}
	return nil
}
