package route

import (
	"fmt"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Endpoint is the configuration of an endpoint.
type Endpoint struct {
	Name    id.Endpoint
	Service id.Service
	Zone    id.Zone
	// Weight scales the endpoint's share of requests. Weight 0 receives none.
	Weight float64
	// Draining is true if operators or the host list drain the endpoint.
	Draining bool
}

// Report is a load report of one endpoint.
type Report struct {
	Endpoint    id.Endpoint
	Incarnation id.Incarnation
	// Seq counts the reports of an incarnation. Out-of-order reports are dropped.
	Seq      uint64
	Draining bool
	Healthy  bool
	// Queued and Running count attempts. The token counts are predictions.
	Queued        uint32
	Running       uint32
	QueuedTokens  uint64
	RunningTokens uint64
	// Slots is the number of attempts that can run at the same time.
	Slots uint32
	// StepTime is the time per token of a running attempt.
	StepTime time.Duration
	// Age is the time since the load was measured, transit included.
	Age time.Duration
}

// Request describes the request to place.
type Request struct {
	Service id.Service
	// Zone is the zone of the calling entry.
	Zone id.Zone
	// Work is the predicted number of tokens, prompt and answer.
	Work uint32
	// PromptBlocks are the hashes of the prompt's prefix blocks, shortest prefix first.
	PromptBlocks []uint64
	// Exclude lists endpoints that must not be picked.
	Exclude []id.Endpoint
	Now     time.Time
	// Explain fills in Choice.Candidates, which costs an allocation.
	Explain bool
}

// Choice is the endpoint picked for a request by a Picker or by Table.PinnedChoice.
type Choice struct {
	Endpoint    id.Endpoint
	Incarnation id.Incarnation
	Zone        id.Zone
	// Work is the predicted number of tokens, as in Request.
	Work uint32
	// Predicted is the time to first token by the load alone. Pass it to Observe unchanged.
	Predicted time.Duration
	// Expected is Predicted corrected by the average error of earlier predictions.
	Expected time.Duration
	// CachedBlocks is the expected prefix hit in blocks.
	CachedBlocks int
	// Candidates are the endpoints compared, if Request.Explain is set.
	Candidates []Candidate

	state   *state
	gain    *gain
	rawWait time.Duration
	prefill time.Duration
}

// Candidate is one endpoint that a policy compared, for explanations.
type Candidate struct {
	Endpoint     id.Endpoint
	Zone         id.Zone
	Predicted    time.Duration
	Expected     time.Duration
	ReportAge    time.Duration
	CachedBlocks int
	// OpenRequests counts the entry's own requests in flight.
	OpenRequests int
	// Remote is true for an endpoint in another zone than the request's.
	Remote bool
}

// Picker is a routing policy. Request handlers call Pick on each try; it does not block.
type Picker interface {
	// Pick returns the endpoint for a request. The error is a *NoEndpointError
	// if no endpoint of the service may receive the request.
	Pick(r Request) (Choice, error)
}

// PrefixIndex predicts prefix cache hits. Pick calls both methods; they must not
// block.
type PrefixIndex interface {
	// Match returns how many leading blocks the endpoint is expected to hold.
	Match(blocks []uint64, e id.Endpoint) int
	// Holder returns an endpoint that is expected to hold a long prefix.
	Holder(blocks []uint64) (id.Endpoint, bool)
}

// Policy names a routing policy.
type Policy string

const (
	// PredictedTime picks the least predicted time to first token of a few random endpoints.
	PredictedTime Policy = "predicted-time"
	// RoundRobin rotates through the ready endpoints of the zone.
	RoundRobin Policy = "round-robin"
	// LeastConnections picks the ready endpoint of the zone with the fewest own requests in flight.
	LeastConnections Policy = "least-connections"
)

// Policies lists the policies that New accepts.
func Policies() []Policy { return []Policy{PredictedTime, RoundRobin, LeastConnections} }

// New returns the policy of the given name over a table.
func New(p Policy, t *Table) (Picker, error) {
	switch p {
	case PredictedTime:
		return &predictedTime{table: t}, nil
	case RoundRobin:
		return &roundRobin{table: t}, nil
	case LeastConnections:
		return &leastConnections{table: t}, nil
	default:
		return nil, fmt.Errorf("routing policy %q is not one of %q", p, Policies())
	}
}
