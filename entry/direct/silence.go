package direct

import (
	"time"

	"github.com/siskinford/siskinford/entry/routes"
)

const (
	// minClientSilence is the least silence after which clients abandon a stream. The
	// users' clients also wait for silenceTargets targets or silenceGaps gaps.
	minClientSilence = 2 * time.Second
	silenceTargets   = 4
	silenceGaps      = 8
	// silenceMargin is taken off for the way to the client.
	silenceMargin = 300 * time.Millisecond
)

// clientSilence returns the silence after which a client abandons a stream.
func clientSilence(r *routes.Route) time.Duration {
	return max(minClientSilence, silenceTargets*r.TargetLatency, silenceGaps*r.MaxEventGap)
}

// silenceLimit returns the silence before which a stream must go on.
func silenceLimit(r *routes.Route) time.Duration { return clientSilence(r) - silenceMargin }

// Parts of the silence after which a client leaves, in percent. What is left of it
// must be enough to begin the stream at another endpoint.
const (
	silentFirstPart = 60
	silentNextPart  = 35
	othersGoOnPart  = 15
)

// silences are the times after which a silent stream is continued elsewhere.
type silences struct {
	// first and next are the times without a first or a further event.
	first, next time.Duration
	// others is the greatest silence of all streams of the service with which a
	// silent stream is held against its endpoint.
	others time.Duration
}

func silencesOf(r *routes.Route) silences {
	percent := clientSilence(r) / 100
	return silences{first: silentFirstPart * percent, next: silentNextPart * percent, others: othersGoOnPart * percent}
}
