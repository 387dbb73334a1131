// Package scheduler schedules the requests of one service at an entry: it queues them,
// places them on endpoints and refuses those that cannot be served in time.
//
// Requests that can still meet their target start first, in order of target and
// priority; late ones use the remaining capacity. Where requests compete by rank,
// the rank decides first. A request that cannot start in
// time is refused as soon as that is predictable, with a retry time. While all
// endpoint groups are down, nothing starts; a circuit breaker per group limits
// requests to groups that refuse them, and trials limit those to zones that cannot
// be reached.
//
// A Scheduler has neither clock nor goroutines. Times are durations since an
// arbitrary fixed origin.
package scheduler

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Config holds the settings of a Scheduler. Zero values select the defaults.
type Config struct {
	// PriorityStep is added to a request's target per step of priority when requests
	// are ordered. Default: 100 ms, a fifth of a short target.
	PriorityStep time.Duration
	// FirstEventLatency is the initial estimate of the time from the start of a
	// request to its answer or first event. Default: 100 ms.
	FirstEventLatency time.Duration
	// RequestDuration is the initial estimate of the time from the start of a
	// request to its end. Default: FirstEventLatency.
	RequestDuration time.Duration
	// OutageDuration is the initial estimate of a group's outage. Default: 5.5 s, for
	// the detection of a crash, the restart of the process and the re-forming of the group.
	OutageDuration time.Duration
	// UnreachableDuration is the initial estimate of the time for which zones are cut off. Default: 5.5 s, some
	// seconds of a partition and the time in which groups re-form.
	UnreachableDuration time.Duration
	// Overcommit is the number of requests beyond its slots that an endpoint may
	// have, which queue there for a slot. Default: 0.
	Overcommit int
	// PromptTokensPerRequest is the number of prompt tokens in prefill that cost as
	// much as a running request when endpoints are compared. Default: 200.
	PromptTokensPerRequest float64
	// StepOverhead is the fixed cost of an endpoint's step, as a number of running
	// requests. An endpoint's slowdown multiplies it. Default: 0.
	StepOverhead float64
	// Affinity is the additional cost of an endpoint that is not preferred, as a number of
	// running requests. It has no effect without preferred endpoints. Default: 4.
	Affinity float64
	// Choices is the number of endpoints that are not preferred that a request may choose
	// from, drawn at random per request. Entries with the same late knowledge would all
	// choose the same least loaded one. It has no effect without preferred endpoints. Default: 3.
	Choices int
	// MaxUtilization bounds the requests at all endpoints together, as a fraction of
	// their slots. Default: 1.
	MaxUtilization float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.PriorityStep, 100*time.Millisecond)
	setDefault(&c.FirstEventLatency, 100*time.Millisecond)
	setDefault(&c.RequestDuration, c.FirstEventLatency)
	setDefault(&c.OutageDuration, 5500*time.Millisecond)
	setDefault(&c.UnreachableDuration, 5500*time.Millisecond)
	setDefault(&c.PromptTokensPerRequest, 200)
	setDefault(&c.MaxUtilization, 1)
	setDefault(&c.Affinity, 4)
	setDefault(&c.Choices, 3)
	return c
}

// outage returns the initial estimate of an outage.
func (c Config) outage(cause outageCause) time.Duration {
	if cause == zonesUnreachable {
		return c.UnreachableDuration
	}
	return c.OutageDuration
}

func setDefault[T int | float64 | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}

// Endpoint is one endpoint of the service.
type Endpoint struct {
	Name id.Endpoint
	// Zone is the availability zone, whose endpoints are cut off together.
	Zone id.Zone
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	// Usable is false for endpoints that are being removed.
	Usable bool
	// Preferred is true for the entry's share of the endpoints, in a fleet whose entries know
	// each other's requests too late to share all of them.
	Preferred bool
}

// Load is the load of requests at an endpoint.
type Load struct {
	// Running counts requests.
	Running int
	// PromptTokens counts the prompt tokens of requests without a first event.
	PromptTokens int
}

// Request describes a request to schedule.
type Request struct {
	// Arrival is when the client's request arrived.
	Arrival time.Duration
	// Target is when the answer or its first event is due.
	Target time.Duration
	// Deadline is when the client or the route gives up.
	Deadline time.Duration
	// FirstEventDeadline is when the client gives up unless it has a first event.
	// Zero selects Deadline.
	FirstEventDeadline time.Duration
	// Priority orders requests, zero first, unless they compete by Rank.
	Priority int
	// Rank orders requests that compete by rank, see SetRanked. Team is who sent the request.
	Rank Rank
	Team id.Team
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Resumed is true for the continuation of a broken stream. It starts before all
	// others, since its client is already reading.
	Resumed bool
	// Exclude lists endpoints that must not be chosen.
	Exclude []id.Endpoint
}

// Reason is the cause of a refusal.
type Reason string

const (
	// NoEndpoint means that no endpoint of the service may receive the request.
	NoEndpoint Reason = "no endpoint may receive it"
	// GroupDown means that the groups are expected to stay down for too long.
	GroupDown Reason = "the group is down"
	// Overload means that the request cannot start in time.
	Overload Reason = "all endpoints are busy"
	// Elsewhere means that this entry can reach no endpoint, and that other entries may.
	Elsewhere Reason = "this entry is cut off from the endpoints"
	// TooLate means that too little time remains until the request's deadline.
	TooLate Reason = "its time is over"
)

// Decision is the outcome of scheduling a request.
type Decision struct {
	// Endpoint is set if the request starts.
	Endpoint id.Endpoint
	// Reason is set if the request is refused.
	Reason Reason
	// RetryAfter is the time after which a retry may succeed, zero if unknown.
	RetryAfter time.Duration
	// Waited is the time since the request's arrival.
	Waited time.Duration
	// DownFor is the time for which all groups have been down, zero if one is up.
	DownFor time.Duration
	// Late is true if the request started too late to meet its target.
	Late bool
	// Occupancy is that of the service at the decision.
	Occupancy
}

// Occupancy is the utilization of a service.
type Occupancy struct {
	// Running counts the known requests at all endpoints.
	Running int
	// Capacity is the number of requests that the usable endpoints may have.
	Capacity int
	// Waiting counts the requests in the queue.
	Waiting int
	// Down is true while all groups are down.
	Down bool
}

// Item is a request in the queue.
type Item struct {
	Request Request
	// Decided is called once, by the goroutine that calls the Scheduler.
	Decided func(Decision)
	// Queued is called by Submit if the request has to wait, with the occupancy at
	// that moment. It may be nil.
	Queued func(Occupancy)

	sortKey time.Duration
	done    bool
}
