package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/siskinford/siskinford/core/id"
)

// Snapshot is an immutable, indexed set of configurations, one version of each kind.
// Callers must not modify returned slices.
type Snapshot struct {
	versions  map[Kind]uint64
	values    map[Kind][]byte
	services  ServiceSet
	teams     TeamSet
	endpoints EndpointSet

	serviceByName      map[id.Service]Service
	serviceByModel     map[string]Service
	teamByKeyHash      map[string]Team
	endpointsByService map[id.Service][]Endpoint
}

// NewSnapshot returns a snapshot without configurations: every kind has version zero.
func NewSnapshot() *Snapshot {
	s := &Snapshot{versions: map[Kind]uint64{}, values: map[Kind][]byte{}}
	s.index()
	return s
}

// StaleVersionError reports a version that is not greater than that of the snapshot.
type StaleVersionError struct {
	Kind Kind
	// Held is the version in the snapshot, Offered the rejected one.
	Held, Offered uint64
}

func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("configuration %q has version %d, version %d is not greater", string(e.Kind), e.Held, e.Offered)
}

// Apply returns a snapshot with the value of a kind replaced by an encoded Envelope. The
// error is a *StaleVersionError unless version is greater than the snapshot's, an error
// of DecodeEnvelope, or a finding.List. References between kinds are not checked,
// since kinds are distributed independently.
func (s *Snapshot) Apply(kind Kind, version uint64, value []byte) (*Snapshot, error) {
	if held := s.versions[kind]; version <= held {
		return nil, &StaleVersionError{Kind: kind, Held: held, Offered: version}
	}
	envelope, err := DecodeEnvelope(value)
	if err != nil {
		return nil, err
	}
	set, err := Decode(kind, envelope.Value)
	if err != nil {
		return nil, err
	}
	next := s.withSet(set)
	next.versions[kind] = version
	next.values[kind] = slices.Clone(value)
	return next, nil
}

// withSet returns a copy of s with one set replaced.
func (s *Snapshot) withSet(set any) *Snapshot {
	next := &Snapshot{
		versions: maps.Clone(s.versions), values: maps.Clone(s.values),
		services: s.services, teams: s.teams, endpoints: s.endpoints,
	}
	switch set := set.(type) {
	case *ServiceSet:
		next.services = *set
	case *TeamSet:
		next.teams = *set
	case *EndpointSet:
		next.endpoints = *set
	}
	next.index()
	return next
}

func (s *Snapshot) index() {
	s.serviceByName = make(map[id.Service]Service, len(s.services.Services))
	s.serviceByModel = make(map[string]Service)
	for _, service := range s.services.Services {
		s.serviceByName[service.Name] = service
		if service.Model != "" {
			s.serviceByModel[service.Model] = service
		}
	}
	s.teamByKeyHash = make(map[string]Team)
	for _, team := range s.teams.Teams {
		for _, hash := range team.KeyHashes {
			s.teamByKeyHash[hash] = team
		}
	}
	s.endpointsByService = make(map[id.Service][]Endpoint)
	for _, e := range s.endpoints.Endpoints {
		s.endpointsByService[e.Service] = append(s.endpointsByService[e.Service], e)
	}
}

// Version returns the version of a kind, zero if it is not present.
func (s *Snapshot) Version(kind Kind) uint64 { return s.versions[kind] }

// Versions returns the version of each kind that is present.
func (s *Snapshot) Versions() map[Kind]uint64 { return maps.Clone(s.versions) }

// Complete reports whether every kind is present.
func (s *Snapshot) Complete() bool { return len(s.versions) == len(Kinds()) }

// Value returns the encoded Envelope of a kind, which is sent to peers.
func (s *Snapshot) Value(kind Kind) []byte { return s.values[kind] }

// Services returns all services.
func (s *Snapshot) Services() []Service { return s.services.Services }

// Teams returns all teams.
func (s *Snapshot) Teams() []Team { return s.teams.Teams }

// Endpoints returns all endpoints.
func (s *Snapshot) Endpoints() []Endpoint { return s.endpoints.Endpoints }

// Service returns the service of that name.
func (s *Snapshot) Service(name id.Service) (Service, bool) {
	service, ok := s.serviceByName[name]
	return service, ok
}

// ServiceByModel returns the service that serves a model.
func (s *Snapshot) ServiceByModel(model string) (Service, bool) {
	service, ok := s.serviceByModel[model]
	return service, ok
}

// EndpointsOf returns the endpoints of a service.
func (s *Snapshot) EndpointsOf(service id.Service) []Endpoint { return s.endpointsByService[service] }

// TeamByKey returns the team that owns an API key.
func (s *Snapshot) TeamByKey(key string) (Team, bool) {
	team, ok := s.teamByKeyHash[HashKey(key)]
	return team, ok
}

// HashKey returns the hash of an API key in the form of Team.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
