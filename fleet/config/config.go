// Package config defines, validates and stores the operators' configuration: services,
// teams and endpoints. Each kind is one platform object and is replaced as a whole.
package config

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Kind is a kind of configuration and the name of its platform object.
type Kind string

const (
	// KindServices has a ServiceSet as value.
	KindServices Kind = "services"
	// KindTeams has a TeamSet as value.
	KindTeams Kind = "teams"
	// KindEndpoints has an EndpointSet as value.
	KindEndpoints Kind = "endpoints"
)

// Kinds returns all kinds, each after the kinds that it refers to.
func Kinds() []Kind { return []Kind{KindServices, KindTeams, KindEndpoints} }

// ObjectKind is the kind of the platform objects that store configurations. The Kind
// is the object's name.
const ObjectKind = "configuration"

// ServiceType is the way in which the requests of a service are handled.
type ServiceType string

const (
	// ServiceTypeModel serves chat completions from a model engine.
	ServiceTypeModel ServiceType = "model"
	// ServiceTypePlain forwards HTTP requests to a back end.
	ServiceTypePlain ServiceType = "plain"
)

// Service is a model or HTTP back end that callers send requests to.
type Service struct {
	Name id.Service  `json:"name"`
	Type ServiceType `json:"type"`
	// Model is the model name in chat completion requests. Required for model services.
	Model string `json:"model,omitempty"`
	// DeadlineMS bounds the time to the first token or to the end of a plain response.
	// Unit: milliseconds. Default: 10,000.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// Idempotent permits retries of requests that may have run. GET and HEAD requests
	// of plain services are always idempotent.
	Idempotent bool `json:"idempotent,omitempty"`
	// Group is the name of the rank group whose endpoints serve the model, if any.
	Group id.Group `json:"group,omitempty"`
	// Experts has the dimensions of the group's expert maps. The group has no
	// coordinator without it.
	Experts *Experts `json:"experts,omitempty"`
}

// Experts has the dimensions of a group's expert maps.
type Experts struct {
	// Ranks is the number of ranks of the group.
	Ranks int `json:"ranks"`
	// Layers is the number of layers with experts.
	Layers int `json:"layers"`
	// PerLayer is the number of experts in a layer.
	PerLayer int `json:"per_layer"`
	// SlotsPerRank is the number of experts per layer that a rank can hold.
	SlotsPerRank int `json:"slots_per_rank"`
}

// DefaultDeadline is the deadline of services that set none.
const DefaultDeadline = 10 * time.Second

// Deadline returns the service's deadline, or DefaultDeadline if none is set.
func (s Service) Deadline() time.Duration {
	if s.DeadlineMS == 0 {
		return DefaultDeadline
	}
	return time.Duration(s.DeadlineMS) * time.Millisecond
}

// Team is a customer of the services.
type Team struct {
	Name id.Team `json:"name"`
	// KeyHashes are hex-encoded SHA-256 hashes of the team's API keys.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Weight is the team's relative share of capacity. Default: 1.
	Weight float64 `json:"weight,omitempty"`
	// TokensPerSecond limits the team across all entry hosts. Zero means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Services lists the services that the team may use. Empty means all.
	Services []id.Service `json:"services,omitempty"`
}

// Endpoint is an instance of a service, reached through the agent on its host.
type Endpoint struct {
	Name    id.Endpoint `json:"name"`
	Service id.Service  `json:"service"`
	Host    id.Host     `json:"host"`
	Zone    id.Zone     `json:"zone"`
	Region  id.Region   `json:"region,omitempty"`
	// Address is the agent's UDP address in the form "ip:port".
	Address string `json:"address"`
	// Weight scales the share of requests that the endpoint receives. Default: 1. Range: 0 to 100.
	Weight *float64 `json:"weight,omitempty"`
	// Drain stops new requests to the endpoint while those in flight finish.
	Drain bool `json:"drain,omitempty"`
	// Ranks are the indices, within the service's group, of the ranks on the host.
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
