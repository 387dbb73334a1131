package claim

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// Expire seals active segments older than SegmentAge and deletes segments whose keys
// have all expired on the clock of every process. It blocks on one list call for each
// shard and on writes. It is safe to call concurrently in several processes.
func (c *Claimer) Expire(ctx context.Context) error {
	var errs error
	for _, s := range c.shards {
		errs = errors.CombineErrors(errs, s.expire(ctx))
	}
	return errs
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
	if err := s.sealIfAged(ctx, objects[segmentName(h.Active)]); err != nil {
		return err
	}
	floor, err := s.nextFloor(h, objects)
	if err != nil {
		return err
	}
	if floor > h.Floor {
		// The floor moves before the deletions, so that no reader expects a deleted segment.
		_, err := s.putHead(ctx, head{Active: h.Active, Floor: floor}, o.Version)
		if err != nil {
			return ignoreConflict(err)
		}
	}
	return s.deleteSegmentsBelow(ctx, floor, objects)
}

// sealIfAged seals the active segment if its oldest claim is older than SegmentAge.
func (s *shard) sealIfAged(ctx context.Context, o objectapi.Object) error {
	if o.Version == 0 {
		return nil
	}
	active, err := decodeSegment(o.Value)
	if err != nil {
		return err
	}
	if active.sealed || active.len() == 0 || s.claimer.cfg.Now().Sub(active.oldestClaim()) < s.claimer.cfg.SegmentAge {
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

// nextFloor returns the number of the oldest segment that may have an unexpired key on
// the clock of any process. A key may be MaxSkew younger than its claim, and the clock
// of another process may be MaxSkew behind.
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
		if !seg.sealed || s.claimer.cfg.Now().Sub(seg.newestClaim()) <= keep {
			return number, nil
		}
	}
	return h.Active, nil
}

// deleteSegmentsBelow deletes the segments below the floor, including leftovers of earlier calls.
func (s *shard) deleteSegmentsBelow(ctx context.Context, floor uint64, objects map[string]objectapi.Object) error {
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
