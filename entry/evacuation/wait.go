package evacuation

import "time"

// Wait bounds the time for which an entry that starts waits for the set. It is not safe for
// concurrent use.
type Wait struct {
	Limit time.Duration
	// began is zero before there is anything to serve.
	began         time.Time
	withEndpoints bool
}

// Begin begins the wait once there is a configuration, and anew when there are endpoints for the first
// time: a request could reach one only from then on. It reports whether a wait began.
func (w *Wait) Begin(now time.Time, endpoints bool) bool {
	if !w.began.IsZero() && (w.withEndpoints || !endpoints) {
		return false
	}
	w.began, w.withEndpoints = now, endpoints
	return true
}

// Over reports whether the wait has begun and ended.
func (w *Wait) Over(now time.Time) bool { return !w.began.IsZero() && now.Sub(w.began) >= w.Limit }
