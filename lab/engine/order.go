package engine

import (
	"fmt"

	protocol "github.com/siskinford/siskinford/agent/engine"
)

// maxPermits bounds the retained step permits.
const maxPermits = 256

// permit allows the steps in [from, through] to run on a map version.
type permit struct {
	from, through, version uint64
}

// epochError reports a stale fencing epoch.
type epochError struct{ got, current uint64 }

func (e *epochError) Error() string {
	return fmt.Sprintf("epoch %d is older than epoch %d", e.got, e.current)
}

// modelError reports a model that is not loaded.
type modelError struct{ model string }

func (e *modelError) Error() string { return fmt.Sprintf("model %q is not loaded", e.model) }

// orderError reports an unknown order kind.
type orderError struct{ kind protocol.OrderKind }

func (e *orderError) Error() string { return fmt.Sprintf("unknown order kind %q", e.kind) }

// checkEpoch rejects an epoch below the current one if fencing is on, and records
// a greater one. Zero means that the caller has no epoch. e.mu must be held.
func (e *Engine) checkEpoch(epoch uint64) error {
	if e.config.Fencing && epoch != 0 && epoch < e.state.Epoch {
		return &epochError{got: epoch, current: e.state.Epoch}
	}
	e.state.Epoch = max(e.state.Epoch, epoch)
	return nil
}

// Order applies an order immediately.
func (e *Engine) Order(o protocol.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkEpoch(o.Epoch); err != nil {
		return err
	}
	switch o.Kind {
	case protocol.OrderLoad:
		e.state.Models[o.Model] = o.Version
	case protocol.OrderRole:
		e.state.Role = o.Role
	case protocol.OrderMap:
		e.state.MapVersion = o.MapVersion
	case protocol.OrderSteps:
		e.addPermit(permit{from: o.From, through: o.Through, version: o.MapVersion})
	default:
		return &orderError{kind: o.Kind}
	}
	e.notify()
	return nil
}

// addPermit appends a permit; it overrides earlier permits for the same steps.
func (e *Engine) addPermit(p permit) {
	if len(e.permits) >= maxPermits {
		e.permits = append(e.permits[:0], e.permits[1:]...)
	}
	e.permits = append(e.permits, p)
}

// permitted returns the map version permitted for a step. e.mu must be held.
func (e *Engine) permitted(step uint64) (version uint64, ok bool) {
	for i := len(e.permits) - 1; i >= 0; i-- {
		p := e.permits[i]
		if p.from <= step && step <= p.through {
			return p.version, true
		}
	}
	return 0, false
}
