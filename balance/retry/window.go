package retry

import "time"

// WindowConfig sets up a Window.
type WindowConfig struct {
	// Ratio is the number of repeats that each request permits, over all entries.
	Ratio float64
	// ExtraRetries is the number of repeats permitted beside that, over all entries.
	ExtraRetries int
	// Length of the sliding window. Required.
	Length time.Duration
}

const (
	// windowParts is the number of parts into which a window is divided. One more
	// is counted, so that the window slides by parts without a gap.
	windowParts = 20
	// ratioPart is the part of the ratio that is used, as requests may be counted
	// differently elsewhere.
	ratioPart = 0.85
	// extraPart is the part of an entry's share of the extra repeats that is used.
	// Below one half, an entry that restarts has not used more than its share.
	extraPart = 0.45
)

// Window bounds the repeats of one entry in any window of time by its share of a
// budget of all entries. It is not safe for concurrent use; times are durations
// since any fixed moment.
type Window struct {
	cfg      WindowConfig
	part     time.Duration
	current  int64
	requests [windowParts + 1]int
	repeats  [windowParts + 1]int
}

// NewWindow returns a window in which nothing happened.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, part: max(cfg.Length/windowParts, 1)}
}

// slide moves the window to a time.
func (w *Window) slide(now time.Duration) int {
	part := int64(now / w.part)
	for steps := min(part-w.current, windowParts+1); steps > 0; steps-- {
		i := (part - steps + 1) % (windowParts + 1)
		w.requests[i], w.repeats[i] = 0, 0
	}
	w.current = max(w.current, part)
	return int(w.current % (windowParts + 1))
}

// RecordRequest counts a request of a client.
func (w *Window) RecordRequest(now time.Duration) { w.requests[w.slide(now)]++ }

// AllowRetry counts a further try if the budget permits it. The budget is shared by
// the given number of entries.
func (w *Window) AllowRetry(now time.Duration, entries int) bool {
	i := w.slide(now)
	if float64(w.used()+1) > w.share(entries) {
		return false
	}
	w.repeats[i]++
	return true
}

// Remaining returns the number of further tries that the budget permits now.
func (w *Window) Remaining(now time.Duration, entries int) int {
	w.slide(now)
	return max(int(w.share(entries))-w.used(), 0)
}

func (w *Window) used() int {
	sum := 0
	for _, n := range w.repeats {
		sum += n
	}
	return sum
}

func (w *Window) share(entries int) float64 {
	requests := 0
	for _, n := range w.requests {
		requests += n
	}
	return ratioPart*w.cfg.Ratio*float64(requests) + extraPart*float64(w.cfg.ExtraRetries)/float64(max(entries, 1))
}
