// Package config defines the operators' configuration: services, teams and
// endpoints. Each kind is one object in the platform and is validated whole.
package config

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Kind names a kind of configuration. Each kind is one platform object.
type Kind string

const (
	// KindServices holds a ServiceSet.
	KindServices Kind = "services"
	// KindTeams holds a TeamSet.
	KindTeams Kind = "teams"
	// KindEndpoints holds an EndpointSet.
	KindEndpoints Kind = "endpoints"
)

// Kinds lists all kinds of configuration in the order in which they refer to each other.
func Kinds() []Kind { return []Kind{KindServices, KindTeams, KindEndpoints} }

// ObjectKind is the platform object kind under which configurations are stored,
// with the Kind as object name.
const ObjectKind = "configuration"

// ServiceType tells how requests of a service are handled.
type ServiceType string

const (
	// ServiceTypeModel answers chat completions by a model engine.
	ServiceTypeModel ServiceType = "model"
	// ServiceTypePlain forwards HTTP requests to a plain back end.
	ServiceTypePlain ServiceType = "plain"
)

// Service is one service that callers use.
type Service struct {
	Name id.Service  `json:"name"`
	Type ServiceType `json:"type"`
	// Model is the model name that callers give in a chat completion. Required for model services.
	Model string `json:"model,omitempty"`
	// Deadline bounds the time to the first token or the whole plain answer.
	// Unit: milliseconds. Default: 10,000.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// Idempotent permits repeating a request that may have run. For plain
	// services, GET and HEAD are idempotent in any case.
	Idempotent bool `json:"idempotent,omitempty"`
	// Group names the rank group whose endpoints serve the model, if any.
	Group id.Group `json:"group,omitempty"`
	// Experts describes the ranks and experts of the group. Without it the group
	// is not coordinated.
	Experts *Experts `json:"experts,omitempty"`
}

// Experts describes the expert maps of a group.
type Experts struct {
	// Ranks is the number of ranks of the group.
	Ranks int `json:"ranks"`
	// Layers is the number of layers with experts.
	Layers int `json:"layers"`
	// PerLayer is the number of experts of a layer.
	PerLayer int `json:"per_layer"`
	// SlotsPerRank is the number of experts of a layer that a rank can hold.
	SlotsPerRank int `json:"slots_per_rank"`
}

// DefaultDeadline applies to services without a deadline of their own.
const DefaultDeadline = 10 * time.Second

// Deadline returns the service's deadline, or DefaultDeadline if none is set.
func (s Service) Deadline() time.Duration {
	if s.DeadlineMS == 0 {
		return DefaultDeadline
	}
	return time.Duration(s.DeadlineMS) * time.Millisecond
}

// Team is one customer.
type Team struct {
	Name id.Team `json:"name"`
	// KeyHashes are hex-encoded SHA-256 hashes of the team's API keys.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Weight is the team's share of capacity relative to other teams. Default: 1.
	Weight float64 `json:"weight,omitempty"`
	// TokensPerSecond limits the team over all entry hosts. Zero means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Services lists the services that the team may use. Empty means all.
	Services []id.Service `json:"services,omitempty"`
}

// Endpoint is one back end, reached through the agent on its host.
type Endpoint struct {
	Name    id.Endpoint `json:"name"`
	Service id.Service  `json:"service"`
	Host    id.Host     `json:"host"`
	Zone    id.Zone     `json:"zone"`
	Region  id.Region   `json:"region,omitempty"`
	// Address is the agent's UDP address as "ip:port".
	Address string `json:"address"`
	// Weight scales the share of work that the endpoint receives. Default: 1. Range: 0 to 100.
	Weight *float64 `json:"weight,omitempty"`
	// Drain stops new work while requests in flight finish.
	Drain bool `json:"drain,omitempty"`
	// Ranks are the indices of the ranks on the host in the group of the service.
	Ranks []int `json:"ranks,omitempty"`
}

// ServiceSet is the value of the services object.
type ServiceSet struct {
	Services []Service `json:"services"`
}

// TeamSet is the value of the teams object.
type TeamSet struct {
	Teams []Team `json:"teams"`
}

// EndpointSet is the value of the endpoints object.
type EndpointSet struct {
	Endpoints []Endpoint `json:"endpoints"`
}
