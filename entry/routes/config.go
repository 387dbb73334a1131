// Package routes defines the operators' configuration of services that entries
// reach directly: routes, services, teams and client limits. A Table is one
// validated, indexed and immutable version of it.
package routes

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
)

// Kind determines whether requests may be retried and whether responses are streams.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests may run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests are answered by a series of events. They may run more
	// than once only if the route is resumable.
	Streaming Kind = "streaming"
)

// Config is one version of the operators' configuration.
type Config struct {
	// Version increases with each change, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []Service
	// KeysRequired is true if routes that are not public require an API key. Without teams, no key
	// is known then. Teams imply it.
	KeysRequired bool
	Teams        []Team
	Limits       Limits
}

// Route maps requests of one host name and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request is kept before it fails.
	Timeout time.Duration
	// TargetLatency is the expected time to the response, or to a stream's first event.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between events with which a stream is on time.
	MaxEventGap time.Duration
	// Priority ranks routes, zero first.
	Priority int
	// Split holds the services of the route with their weights.
	Split []WeightedService
	// MaxAttempts is the number of endpoints to which a request may be sent.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may be continued at another endpoint after an event.
	Resumable bool
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// WeightedService is a service in the traffic split of a route.
type WeightedService struct {
	Service id.Service
	// Weight is relative to the other weights of the route.
	Weight int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       id.Service
	HealthPath string
	// MaxConns is the number of connections that an endpoint accepts from all callers.
	MaxConns int
	// RoutePriorities are the different priorities of the routes to the service, in order. NewTable
	// sets them.
	RoutePriorities []int
	// ColdStart is the time for which an endpoint is cold after it starts during traffic.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold endpoint tolerates from all entries
	// together. Zero means no limit: endpoints are never cold.
	ColdRate float64
	// Engine is set if the endpoints are model engines.
	Engine *Engine
}

// Ranked reports whether the routes to the service have different priorities, so that their requests
// compete by rank.
func (s *Service) Ranked() bool { return len(s.RoutePriorities) > 1 }

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCacheTokens is the size of the engine's KV cache in tokens.
	KVCacheTokens int
	// StepTime is the time of a step without requests.
	StepTime time.Duration
	// StepTimePerSequence is added to a step for each request that generates.
	StepTimePerSequence time.Duration
	// StepTimePerKContext is added to a step for each 1,000 context tokens of a request that generates.
	StepTimePerKContext time.Duration
	// PrefillRate is the prefill throughput in tokens per second.
	PrefillRate float64
	// PrefillTimePerMillionPairs is added for each million pairs of a prompt token and an earlier token.
	PrefillTimePerMillionPairs time.Duration
	// PrefillChunkTokens bounds the prompt tokens processed in a step.
	PrefillChunkTokens int
	// StepsPerPass is the number of token steps in a pass that generates; relay.State.Step counts passes.
	StepsPerPass int
	// MeanPromptTokens and MeanAnswerTokens are the usual lengths of a request.
	MeanPromptTokens, MeanAnswerTokens float64
	// ReportLag is the age of a load report read from another host.
	ReportLag time.Duration
	// Experts is set if the engines are ranks of groups.
	Experts *Experts
}

// FullLoadStepTime returns the time of a step while all slots generate.
func (e *Engine) FullLoadStepTime() time.Duration {
	return e.StepTime + time.Duration(e.Slots)*e.StepTimePerSequence
}

// FullLoadPassTime returns the time of a pass while all slots generate, without
// prefill.
func (e *Engine) FullLoadPassTime() time.Duration {
	return time.Duration(max(e.StepsPerPass, 1)) * e.FullLoadStepTime()
}

// Bounds of an engine's counts, which become lengths of lists.
const (
	maxEngineSlots = 1 << 20
	maxLayerSets   = 1 << 10
	maxExperts     = 1 << 14
)

func (e *Engine) validate() finding.List {
	var l finding.List
	if e.Slots <= 0 {
		l.Addf(".slots", "%d is not positive", e.Slots)
	}
	if e.Slots > maxEngineSlots {
		l.Addf(".slots", "%d is more than %d", e.Slots, maxEngineSlots)
	}
	x := e.Experts
	if x == nil {
		return l
	}
	for _, c := range []struct {
		place         string
		value, lowest int
		highest       int
	}{
		{".layerSets", x.LayerSets, 1, maxLayerSets},
		{".expertsPerSet", x.ExpertsPerSet, 1, maxExperts},
		{".slotsPerRank", x.SlotsPerRank, 0, maxExperts},
		{".newPerMap", x.MaxNewPerMap, 0, maxExperts},
	} {
		if c.value < c.lowest || c.value > c.highest {
			l.Addf(c.place, "%d is not between %d and %d", c.value, c.lowest, c.highest)
		}
	}
	return l
}

// Experts describes the experts of a group of ranks.
type Experts struct {
	// LayerSets is the number of sets of layers, each with experts of its own.
	LayerSets int
	// ExpertsPerSet is the number of experts of a set.
	ExpertsPerSet int
	// SlotsPerRank is the number of experts of a set that a rank can hold.
	SlotsPerRank int
	// MaxNewPerMap is the number of experts of a set that a rank can copy for one map.
	MaxNewPerMap int
	// ExpertBytes is the size of the weights of an expert.
	ExpertBytes float64
	// LinkBitsPerSecond is the speed at which a rank copies weights.
	LinkBitsPerSecond float64
	// ComputeFraction is the fraction of the work for tokens done by experts. Range: 0 to 1.
	ComputeFraction float64
	// FormationTime is the time in which a group opens after its last rank is back.
	FormationTime time.Duration
}

// CopyTime returns the time a rank needs to copy one expert, zero if the speed is unknown.
func (e *Experts) CopyTime() time.Duration {
	if e.LinkBitsPerSecond <= 0 {
		return 0
	}
	return time.Duration(e.ExpertBytes * 8 / e.LinkBitsPerSecond * float64(time.Second))
}

// Team is one customer.
type Team struct {
	Name id.Team
	Keys []string
	// Priority overrides the route's priority, unless it is nil.
	Priority *int
}

// Limits bounds client requests and connections.
type Limits struct {
	// MaxHeaderBytes bounds the request line and the header.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to receive a header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a connection stays without a request.
	IdleTimeout time.Duration
}
