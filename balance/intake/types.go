// Package intake decides when and at which endpoint an entry starts the requests
// of one service, and which it refuses.
//
// Requests that can still be on time go first, by the time at which their answer
// is expected; those that are late already use what capacity is left. A request
// that cannot be served in time is refused as soon as that is known, with the
// time after which it can be. While the group behind the endpoints is down,
// nothing is started.
//
// An Intake has neither clock nor goroutines; times are durations since any
// fixed moment.
package intake

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Config holds the settings of an Intake. Zero values select the defaults.
type Config struct {
	// PriorityStep is what a step of priority is worth in the order of requests.
	// Default: 100 ms, a fifth of a short target.
	PriorityStep time.Duration
	// FirstEventLatency is the initial estimate of the time from the start of a request
	// to its answer or first event. Default: 100 ms.
	FirstEventLatency time.Duration
	// RequestDuration is the initial estimate of the time from the start of a request
	// to its end. Default: FirstAnswer.
	RequestDuration time.Duration
	// OutageDuration is the initial estimate of the time for which a group is down. Default: 5.5 s: a crash is noticed, the process is replaced, the group forms.
	OutageDuration time.Duration
	// Overcommit is the number of requests beyond its slots that an endpoint may
	// have, which wait there for a slot. Default: 0.
	Overcommit int
	// PromptTokensPerRequest is the number of prompt tokens being read that weigh as much
	// as a running request when endpoints are compared. Default: 200.
	PromptTokensPerRequest float64
	// StepOverhead is what a step of an endpoint costs beside its requests, as a number of
	// running requests. A slow endpoint multiplies it, with or without requests.
	// Default: 0.
	StepOverhead float64
	// MaxUtilization bounds the requests at all endpoints together, as a part of
	// their slots. Default: 1.
	MaxUtilization float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.PriorityStep, 100*time.Millisecond)
	setDefault(&c.FirstEventLatency, 100*time.Millisecond)
	setDefault(&c.RequestDuration, c.FirstEventLatency)
	setDefault(&c.OutageDuration, 5500*time.Millisecond)
	setDefault(&c.PromptTokensPerRequest, 200)
	setDefault(&c.MaxUtilization, 1)
	return c
}

func setDefault[T float64 | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}

// Endpoint is one endpoint of the service.
type Endpoint struct {
	Name id.Endpoint
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	// Usable is false for endpoints that leave.
	Usable bool
}

// Load is what runs at an endpoint.
type Load struct {
	// Running counts requests.
	Running int
	// PromptTokens counts the prompt tokens of requests without a first event.
	PromptTokens int
}

// Request describes a request that asks to be started.
type Request struct {
	// Arrival is when the client's request arrived.
	Arrival time.Duration
	// Target is when the answer, or its first event, is expected.
	Target time.Duration
	// Deadline is when the client or the route gives up.
	Deadline time.Duration
	// FirstEventDeadline is when the client gives up unless it has a first event. Zero means
	// that it waits until the deadline.
	FirstEventDeadline time.Duration
	// Priority ranks the request, zero first.
	Priority int
	// PromptTokens is the number of prompt tokens.
	PromptTokens int
	// Resumed is true for a stream that broke off and goes on. It is started
	// before all others, since its client is reading.
	Resumed bool
	// Exclude lists endpoints that must not be chosen.
	Exclude []id.Endpoint
}

// Reason tells why a request was refused.
type Reason string

const (
	// NoEndpoint means that no endpoint of the service may receive the request.
	NoEndpoint Reason = "no endpoint may receive it"
	// GroupDown means that the group is down for longer than the request can wait.
	GroupDown Reason = "the group is down"
	// Overload means that the request would wait for too long.
	Overload Reason = "all endpoints are busy"
	// TooLate means that the rest of the request's time is too short.
	TooLate Reason = "its time is over"
)

// Decision is what becomes of a request.
type Decision struct {
	// Endpoint is set if the request starts.
	Endpoint id.Endpoint
	// Reason is set if the request is refused.
	Reason Reason
	// RetryAfter is the time after which a refused request can be served, zero
	// if it is not known.
	RetryAfter time.Duration
	// Waited is the time that the request waited.
	Waited time.Duration
	// DownFor is the time for which the group has been down, zero if it is up.
	DownFor time.Duration
	// Late is true if the request was started after it could be on time.
	Late bool
	// Occupancy is that of the service at the decision.
	Occupancy
}

// Occupancy tells how busy a service is.
type Occupancy struct {
	// Running counts the requests at all endpoints, as far as they are known.
	Running int
	// Capacity is the number of requests that the usable endpoints may have.
	Capacity int
	// Waiting counts the requests that wait in this intake.
	Waiting int
	// Down is true while all groups are down.
	Down bool
}

// Ticket is a request that waits for its decision.
type Ticket struct {
	Request Request
	// Decided is called once, by the goroutine that calls the intake.
	Decided func(Decision)
	// Queued is called by Submit if the request has to wait, with the standing
	// that keeps it from starting. It may be nil.
	Queued func(Occupancy)

	key  time.Duration
	done bool
}
