package direct

import (
	"time"

	"github.com/siskinford/siskinford/entry/routes"
)

const (
	// minClientSilence is the minimum silence after which clients abandon a stream. Known
	// clients wait for the longest of it, clientSilenceTargets target latencies and
	// clientSilenceGaps maximum gaps.
	minClientSilence     = 2 * time.Second
	clientSilenceTargets = 4
	clientSilenceGaps    = 8
	// deliveryMargin is subtracted for the delivery to the client.
	deliveryMargin = 300 * time.Millisecond
)

// clientSilence returns the silence after which a client abandons a stream.
func clientSilence(r *routes.Route) time.Duration {
	return max(minClientSilence, clientSilenceTargets*r.TargetLatency, clientSilenceGaps*r.MaxEventGap)
}

// maxSilence returns the silence within which a stream must resume.
func maxSilence(r *routes.Route) time.Duration { return clientSilence(r) - deliveryMargin }

// Percentages of clientSilence. The remainder must suffice to start the stream at
// another endpoint.
const (
	firstEventPercent   = 60
	nextEventPercent    = 35
	othersActivePercent = 15
)

// silenceTimeouts are the timeouts after which a silent stream is resumed elsewhere.
type silenceTimeouts struct {
	// first and next apply before the first and between further events.
	first, next time.Duration
	// othersActive is the greatest silence of the whole service at which a silent stream
	// still counts as a fault of its endpoint.
	othersActive time.Duration
}

func silenceTimeoutsOf(r *routes.Route) silenceTimeouts {
	percent := clientSilence(r) / 100
	return silenceTimeouts{first: firstEventPercent * percent, next: nextEventPercent * percent, othersActive: othersActivePercent * percent}
}
