package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"unicode"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

const (
	// maxNameLen bounds the length of a name. Unit: bytes.
	maxNameLen = 128
	// keyHashLen is the length of a SHA-256 hash. Unit: bytes.
	keyHashLen        = 32
	maxEndpointWeight = 100
	maxTeamWeight     = 1000
	// maxDeadlineMS bounds the deadline of a service. Unit: milliseconds.
	maxDeadlineMS = 24 * 3600 * 1000
)

// Decode decodes the value of a kind and validates it without the other kinds. The
// error is a finding.List.
func Decode(kind Kind, data []byte) (any, error) {
	var l finding.List
	var v any
	if len(data) > maxValueBytes {
		l.Addf("", "the value has %d bytes, the limit is %d", len(data), maxValueBytes)
		return nil, l.Err()
	}
	switch kind {
	case KindServices:
		v = &ServiceSet{}
	case KindTeams:
		v = &TeamSet{}
	case KindEndpoints:
		v = &EndpointSet{}
	default:
		l.Addf("", "unknown kind of configuration %q", string(kind))
		return nil, l.Err()
	}
	l = decodeStrict(data, v)
	if len(l) > 0 {
		return nil, l.Err()
	}
	replaceNilLists(v)
	if l = Validate(v); len(l) > 0 {
		return nil, l.Err()
	}
	return v, nil
}

// replaceNilLists replaces an absent list by an empty one: a nil slice is encoded as
// null, which decodeStrict rejects.
func replaceNilLists(v any) {
	switch v := v.(type) {
	case *ServiceSet:
		v.Services = emptyIfNil(v.Services)
	case *TeamSet:
		v.Teams = emptyIfNil(v.Teams)
	case *EndpointSet:
		v.Endpoints = emptyIfNil(v.Endpoints)
	}
}

func emptyIfNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}

// maxValueBytes leaves room for the Envelope, which embeds the value as JSON, within a
// platform value.
const maxValueBytes = objectapi.MaxValueBytes - 4096

// Validate validates a *ServiceSet, *TeamSet or *EndpointSet without the other kinds.
func Validate(v any) finding.List {
	switch v := v.(type) {
	case *ServiceSet:
		return v.validate()
	case *TeamSet:
		return v.validate()
	case *EndpointSet:
		return v.validate()
	}
	var l finding.List
	l.Addf("", "unknown kind of configuration %T", v)
	return l
}

// unique detects duplicate values. It maps a value to its first place.
type unique map[string]string

// add adds a value, or a finding if the value was added before.
func (u unique) add(l *finding.List, place, what, value string) {
	if value == "" {
		return
	}
	if first, ok := u[value]; ok {
		l.Addf(place, "%s %q is used by %s already", what, value, first)
		return
	}
	u[value] = place
}

func checkName(l *finding.List, place, name string) {
	switch {
	case name == "":
		l.Addf(place, "is not set")
	case len(name) > maxNameLen:
		l.Addf(place, "%q has %d bytes, the limit is %d", name, len(name), maxNameLen)
	default:
		for _, r := range name {
			if unicode.IsSpace(r) || unicode.IsControl(r) || r == '/' {
				l.Addf(place, "%q contains the character %q", name, r)
				return
			}
		}
	}
}

func (s *ServiceSet) validate() finding.List {
	var l finding.List
	names, models, groups := unique{}, unique{}, unique{}
	for i, service := range s.Services {
		place := fmt.Sprintf("services[%d]", i)
		checkName(&l, place+".name", string(service.Name))
		names.add(&l, place+".name", "name", string(service.Name))
		models.add(&l, place+".model", "model", service.Model)
		service.validate(&l, place)
		if service.Experts != nil {
			groups.add(&l, place+".group", "group", string(service.Group))
			service.Experts.validate(&l, place, service.Group)
		}
	}
	return l
}

func (s Service) validate(l *finding.List, place string) {
	switch s.Type {
	case ServiceTypeModel:
		if s.Model == "" {
			l.Addf(place+".model", "is not set on model service %q", string(s.Name))
		}
	case ServiceTypePlain:
		if s.Model != "" {
			l.Addf(place+".model", "is set on plain service %q", string(s.Name))
		}
		if s.Group != "" {
			l.Addf(place+".group", "is set on plain service %q", string(s.Name))
		}
	default:
		l.Addf(place+".type", "%q is neither %q nor %q", string(s.Type), string(ServiceTypeModel), string(ServiceTypePlain))
	}
	if s.DeadlineMS < 0 || s.DeadlineMS > maxDeadlineMS {
		l.Addf(place+".deadline_ms", "%d is outside 0 to %d", s.DeadlineMS, maxDeadlineMS)
	}
}

func (s *TeamSet) validate() finding.List {
	var l finding.List
	names, hashes := unique{}, unique{}
	for i, team := range s.Teams {
		place := fmt.Sprintf("teams[%d]", i)
		checkName(&l, place+".name", string(team.Name))
		names.add(&l, place+".name", "name", string(team.Name))
		for j, hash := range team.KeyHashes {
			hashPlace := fmt.Sprintf("%s.key_hashes[%d]", place, j)
			checkKeyHash(&l, hashPlace, hash)
			hashes.add(&l, hashPlace, "key hash", hash)
		}
		if team.Weight < 0 || team.Weight > maxTeamWeight {
			l.Addf(place+".weight", "%v is outside 0 to %d", team.Weight, maxTeamWeight)
		}
		if team.TokensPerSecond < 0 {
			l.Addf(place+".tokens_per_second", "%v is negative", team.TokensPerSecond)
		}
		used := unique{}
		for j, service := range team.Services {
			used.add(&l, fmt.Sprintf("%s.services[%d]", place, j), "service", string(service))
		}
	}
	return l
}

func checkKeyHash(l *finding.List, place, hash string) {
	b, err := hex.DecodeString(hash)
	if err != nil || len(b) != keyHashLen || hex.EncodeToString(b) != hash {
		l.Addf(place, "must be a SHA-256 hash in lower-case hexadecimal digits")
	}
}

func (s *EndpointSet) validate() finding.List {
	var l finding.List
	names, addresses := unique{}, unique{}
	for i, e := range s.Endpoints {
		place := fmt.Sprintf("endpoints[%d]", i)
		checkName(&l, place+".name", string(e.Name))
		names.add(&l, place+".name", "name", string(e.Name))
		checkName(&l, place+".service", string(e.Service))
		checkName(&l, place+".host", string(e.Host))
		checkName(&l, place+".zone", string(e.Zone))
		checkAddress(&l, place+".address", e.Address)
		addresses.add(&l, place+".address", "address", e.Address)
		if e.Weight != nil && (*e.Weight < 0 || *e.Weight > maxEndpointWeight) {
			l.Addf(place+".weight", "%v is outside 0 to %d", *e.Weight, maxEndpointWeight)
		}
	}
	return l
}

func checkAddress(l *finding.List, place, address string) {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		l.Addf(place, "%q is not an address of the form ip:port", address)
	case a.Port() == 0:
		l.Addf(place, "%q has port 0", address)
	case a.Addr().IsUnspecified():
		l.Addf(place, "%q does not name a host", address)
	}
}

// validateAcross returns the findings in the references between kind and other kinds.
func validateAcross(kind Kind, s *Snapshot) finding.List {
	var l finding.List
	if kind == KindTeams || kind == KindServices {
		s.checkTeamServices(&l, kind)
	}
	if kind == KindEndpoints || kind == KindServices {
		s.checkEndpointServices(&l, kind)
		s.checkRanks(&l, kind)
	}
	return l
}

func (s *Snapshot) checkTeamServices(l *finding.List, kind Kind) {
	for i, team := range s.teams.Teams {
		for j, name := range team.Services {
			if _, ok := s.serviceByName[name]; !ok {
				reportMissingService(l, kind, fmt.Sprintf("teams[%d].services[%d]", i, j), string(name), "team", string(team.Name))
			}
		}
	}
}

func (s *Snapshot) checkEndpointServices(l *finding.List, kind Kind) {
	for i, e := range s.endpoints.Endpoints {
		if _, ok := s.serviceByName[e.Service]; !ok {
			reportMissingService(l, kind, fmt.Sprintf("endpoints[%d].service", i), string(e.Service), "endpoint", string(e.Name))
		}
	}
}

// reportMissingService adds a finding for a reference to a service that does not exist,
// at the reference or, if kind is KindServices, at the services.
func reportMissingService(l *finding.List, kind Kind, place, service, whatRefers, refers string) {
	if kind == KindServices {
		l.Addf("services", "service %q is missing but %s %q refers to it", service, whatRefers, refers)
		return
	}
	l.Addf(place, "service %q does not exist", service)
}
