package edge

import "time"

const (
	// minIsolationSilence and isolationIntervals bound from below the silence of all entries in other zones after which an
	// entry that can reach no endpoint counts as cut off.
	minIsolationSilence = 500 * time.Millisecond
	isolationIntervals  = 2.5
)

// isolation tells whether an entry is cut off from endpoints and from the entries of other zones, which may still
// reach endpoints. An entry that only sees its endpoints down must go on answering: all others see the same.
type isolation struct {
	isolated bool
	// since is when the entry was cut off, as far as isolated is true.
	since time.Time
}

// update takes what the entry sees now and reports whether it was cut off or is no longer.
// Silence is the time since another zone was heard; heard is false if there is none to be heard.
func (i *isolation) update(unreachable bool, silence time.Duration, heard bool, interval time.Duration, now time.Time) (changed bool) {
	limit := max(minIsolationSilence, time.Duration(isolationIntervals*float64(interval)))
	isolated := unreachable && heard && silence >= limit
	if isolated == i.isolated {
		return false
	}
	i.isolated, i.since = isolated, now
	return true
}

// elsewhereAfter returns the time after which the platform sends new connections to entries in other zones, negative if
// this entry is not cut off.
func (i *isolation) elsewhereAfter(now time.Time) time.Duration {
	if !i.isolated {
		return -1
	}
	return max(unreadyDetectionTime-now.Sub(i.since), 0)
}

// updateIsolation lets the platform send clients to other zones while this entry is cut off.
func (e *Edge) updateIsolation(now time.Time) {
	if !e.cfg.RedirectIsolated {
		return
	}
	silence, heard := e.mesh.OtherZonesSilence()
	if e.isolation.update(e.handler.Unreachable(), silence, heard, e.mesh.Interval(), now) {
		e.isolated.Store(e.isolation.isolated)
		e.log.Warn().Str("event", "entry.isolated").Bool("isolated", e.isolation.isolated).Dur("silence", silence).
			Msg("readiness follows, so that new connections reach entries in other zones")
	}
	if e.isolation.isolated || e.sentElsewhere {
		e.handler.SetElsewhere(e.isolation.elsewhereAfter(now))
		e.sentElsewhere = e.isolation.isolated
	}
}
