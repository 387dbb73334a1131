package retry

import "time"

// WindowConfig holds the settings of a Window.
type WindowConfig struct {
	// Ratio is the number of retries that each request permits, over all entries.
	Ratio float64
	// ExtraRetries is the number of retries permitted in addition, over all entries.
	ExtraRetries int
	// Length of the sliding window. Required.
	Length time.Duration
}

const (
	// windowBuckets is the number of buckets that make up a window. One more is
	// counted, so that the window covers its full length while a bucket fills.
	windowBuckets = 20
	// ratioMargin is the fraction of the ratio that is used, since requests may be
	// counted differently elsewhere.
	ratioMargin = 0.85
	// extraMargin is the fraction of an entry's share of ExtraRetries that is used.
	// Below one half, an entry that loses its counts in a restart stays in its share.
	extraMargin = 0.45
)

// Window bounds the retries of one entry in any sliding window by its share of a
// budget of all entries. It is not safe for concurrent use. Times are durations
// since an arbitrary fixed origin.
type Window struct {
	cfg           WindowConfig
	bucketLength  time.Duration
	currentBucket int64
	requests      [windowBuckets + 1]int
	retries       [windowBuckets + 1]int
}

// NewWindow returns a window without requests and retries.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, bucketLength: max(cfg.Length/windowBuckets, 1)}
}

// advance clears the buckets that have left the window and returns the current one.
func (w *Window) advance(now time.Duration) int {
	bucket := int64(now / w.bucketLength)
	for steps := min(bucket-w.currentBucket, windowBuckets+1); steps > 0; steps-- {
		i := (bucket - steps + 1) % (windowBuckets + 1)
		w.requests[i], w.retries[i] = 0, 0
	}
	w.currentBucket = max(w.currentBucket, bucket)
	return int(w.currentBucket % (windowBuckets + 1))
}

// RecordRequest counts a client's request, without its retries.
func (w *Window) RecordRequest(now time.Duration) { w.requests[w.advance(now)]++ }

// AcquireRetry reports whether the budget permits a retry and counts it if so. The
// budget is shared by the given number of entries.
func (w *Window) AcquireRetry(now time.Duration, entries int) bool {
	i := w.advance(now)
	if float64(w.used()+1) > w.allowance(entries) {
		return false
	}
	w.retries[i]++
	return true
}

// Remaining returns the number of retries that the budget permits now.
func (w *Window) Remaining(now time.Duration, entries int) int {
	w.advance(now)
	return max(int(w.allowance(entries))-w.used(), 0)
}

func (w *Window) used() int {
	sum := 0
	for _, n := range w.retries {
		sum += n
	}
	return sum
}

func (w *Window) allowance(entries int) float64 {
	requests := 0
	for _, n := range w.requests {
		requests += n
	}
	return ratioMargin*w.cfg.Ratio*float64(requests) + extraMargin*float64(w.cfg.ExtraRetries)/float64(max(entries, 1))
}
