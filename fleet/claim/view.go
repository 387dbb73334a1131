package claim

import (
	"context"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// headName is the name of a shard's head object.
const headName = "head"

// firstSegment is the number of a shard's first segment.
const firstSegment = 1

func segmentName(number uint64) string { return fmt.Sprintf("%012d", number) }

// view is a cached copy of a shard: the head, one version of the active segment and all
// sealed segments from the floor on.
type view struct {
	head        head
	headVersion uint64
	active      *segment
	version     uint64
	sealed      map[uint64]*segment
	// stale is true if the view must be reloaded before its next use.
	stale bool
	// fresh is true if the active segment was read or written in the current batch.
	fresh bool
}

func (v *view) position() position { return position{number: v.head.Active, version: v.version} }

func (v *view) find(h Hash) (Record, bool) {
	if r, ok := v.active.find(h); ok {
		return r, true
	}
	for _, s := range v.sealed {
		if r, ok := s.find(h); ok {
			return r, true
		}
	}
	return Record{}, false
}

// refresh loads the view if it is missing or stale.
func (s *shard) refresh(ctx context.Context) error {
	switch {
	case s.view == nil:
		return s.load(ctx)
	case s.view.stale:
		return s.reload(ctx)
	default:
		return nil
	}
}

// load reads the whole shard. It creates the shard if it does not exist.
func (s *shard) load(ctx context.Context) error {
	objects, err := s.list(ctx)
	if err != nil {
		return err
	}
	if _, ok := objects[headName]; !ok {
		if err := s.create(ctx); err != nil {
			return err
		}
		if objects, err = s.list(ctx); err != nil {
			return err
		}
	}
	v, err := s.buildView(&view{}, func(name string) (objectapi.Object, error) {
		o, ok := objects[name]
		if !ok {
			return objectapi.Object{}, &objectapi.NotFoundError{Kind: s.kind, Name: name}
		}
		return o, nil
	})
	if err != nil {
		return err
	}
	s.view = v
	return nil
}

func (s *shard) list(ctx context.Context) (map[string]objectapi.Object, error) {
	objects, _, err := s.claimer.cfg.Store.List(ctx, s.kind)
	if err != nil {
		return nil, err
	}
	byName := make(map[string]objectapi.Object, len(objects))
	for _, o := range objects {
		byName[o.Name] = o
	}
	return byName, nil
}

// create writes the first segment and then the head. Other processes may do the same.
func (s *shard) create(ctx context.Context) error {
	if err := s.createSegment(ctx, firstSegment); err != nil {
		return err
	}
	_, err := s.putHead(ctx, head{Active: firstSegment, Floor: firstSegment}, 0)
	return ignoreConflict(err)
}

func ignoreConflict(err error) error {
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

func (s *shard) createSegment(ctx context.Context, number uint64) error {
	value, err := newSegment().encode()
	if err != nil {
		return err
	}
	_, err = s.claimer.cfg.Store.Put(ctx, objectapi.Object{Kind: s.kind, Name: segmentName(number), Value: value})
	return ignoreConflict(err)
}

func (s *shard) putHead(ctx context.Context, h head, version uint64) (objectapi.Object, error) {
	value, err := cbor.Marshal(h)
	if err != nil {
		return objectapi.Object{}, errors.Wrap(err, "claim head cannot be encoded")
	}
	return s.claimer.cfg.Store.Put(ctx, objectapi.Object{Kind: s.kind, Name: headName, Version: version, Value: value})
}

// reload reads the head, the active segment and the sealed segments missing in the view.
func (s *shard) reload(ctx context.Context) error {
	v, err := s.buildView(s.view, func(name string) (objectapi.Object, error) {
		return s.claimer.cfg.Store.Get(ctx, s.kind, name)
	})
	if err != nil {
		return err
	}
	s.view = v
	return nil
}

// buildView builds a view from stored objects and the sealed segments of old. It fails
// on versions older than those in old, since reads from the platform may be stale.
func (s *shard) buildView(old *view, get func(name string) (objectapi.Object, error)) (*view, error) {
	o, err := get(headName)
	if err != nil {
		return nil, err
	}
	if o.Version < old.headVersion {
		return nil, errors.Newf("stale read: version %d of the claim head after version %d", o.Version, old.headVersion)
	}
	v := &view{headVersion: o.Version, sealed: make(map[uint64]*segment), fresh: true}
	if v.head, err = decodeHead(o.Value); err != nil {
		return nil, err
	}
	for number := v.head.Floor; number < v.head.Active; number++ {
		if v.sealed[number], err = old.sealedSegment(number, get); err != nil {
			return nil, err
		}
	}
	if o, err = get(segmentName(v.head.Active)); err != nil {
		return nil, err
	}
	if (position{v.head.Active, o.Version}).before(old.position()) {
		return nil, errors.Newf("stale read: version %d of claim segment %d after version %d", o.Version, v.head.Active, old.version)
	}
	v.version = o.Version
	v.active, err = decodeSegment(o.Value)
	return v, err
}

func (p position) before(q position) bool { return q.after(p) }

// sealedSegment returns a segment below the active one, from the view or the platform.
func (v *view) sealedSegment(number uint64, get func(name string) (objectapi.Object, error)) (*segment, error) {
	if s, ok := v.sealed[number]; ok {
		return s, nil
	}
	if number == v.head.Active && v.active != nil && v.active.sealed {
		return v.active, nil
	}
	o, err := get(segmentName(number))
	if err != nil {
		return nil, err
	}
	s, err := decodeSegment(o.Value)
	if err != nil {
		return nil, err
	}
	if !s.sealed {
		return nil, errors.Newf("stale read: claim segment %s is not sealed", strconv.FormatUint(number, 10))
	}
	return s, nil
}

// write replaces the active segment by a conditional update. After a conflict, the
// view holds the segment that is stored.
func (s *shard) write(ctx context.Context, next *segment) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	v := s.view
	written, err := s.claimer.cfg.Store.Put(ctx, objectapi.Object{
		Kind: s.kind, Name: segmentName(v.head.Active), Version: v.version, Value: value,
	})
	if err == nil {
		v.active, v.version, v.fresh = next, written.Version, true
		return nil
	}
	v.stale = true
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		v.adoptCurrent(conflict.Current)
	}
	return err
}

// adoptCurrent replaces the active segment by the stored one after a conflict.
func (v *view) adoptCurrent(o objectapi.Object) {
	if o.Version <= v.version {
		return
	}
	current, err := decodeSegment(o.Value)
	if err != nil {
		return
	}
	v.active, v.version = current, o.Version
	// If it is sealed, later segments may hold further claims.
	v.stale, v.fresh = false, !current.sealed
}

// seal marks the active segment as sealed.
func (s *shard) seal(ctx context.Context) error {
	next := s.view.active.clone()
	next.sealed = true
	return s.write(ctx, next)
}

// startNextSegment creates the segment after a sealed active one and moves the head to
// it. It marks the view as stale, since another process may have done the same.
func (s *shard) startNextSegment(ctx context.Context) error {
	s.view.stale = true
	h := s.view.head
	if err := s.createSegment(ctx, h.Active+1); err != nil {
		return err
	}
	_, err := s.putHead(ctx, head{Active: h.Active + 1, Floor: h.Floor}, s.view.headVersion)
	return ignoreConflict(err)
}
