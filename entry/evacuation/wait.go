package evacuation

import "time"

// Wait bounds the time for which an entry that starts waits for the set. It begins with the first
// configuration, and anew once there are endpoints too: requests could reach one only from then on.
// It is not safe for concurrent use.
type Wait struct {
	Limit time.Duration

	began                 time.Time
	configured, endpoints bool
}

// Configured records a configuration. It reports whether the entry can serve from now on.
func (w *Wait) Configured(now time.Time) bool {
	if w.configured {
		return false
	}
	w.configured, w.began = true, now
	return w.endpoints
}

// HasEndpoints records that there are endpoints. It reports whether the entry can serve from now on.
func (w *Wait) HasEndpoints(now time.Time) bool {
	if w.endpoints {
		return false
	}
	w.endpoints, w.began = true, now
	return w.configured
}

// Over reports whether the wait has begun and ended.
func (w *Wait) Over(now time.Time) bool { return w.configured && now.Sub(w.began) >= w.Limit }
