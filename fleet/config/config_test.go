package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
)

const (
	services = `{"services":[{"name":"asistente","type":"model","model":"m1"},{"name":"mostrador","type":"plain"}]}`
	noon     = 1_800_000_000
)

func teams(key string) string {
	return fmt.Sprintf(`{"teams":[{"name":"puno","key_hashes":[%q],"services":["mostrador"]}]}`, config.HashKey(key))
}

func endpoints(service, address string) string {
	return fmt.Sprintf(`{"endpoints":[{"name":"e1","service":%q,"host":"h1","zone":"lima-a","address":%q}]}`, service, address)
}

func TestDecodeFindings(t *testing.T) {
	hash := config.HashKey("k")
	cases := map[string]struct {
		kind  config.Kind
		value string
		want  []string
	}{
		"several at once": {
			config.KindServices,
			`{"services":[{"name":"a","type":"model","modle":"x"},{"name":7,"type":"plain","extra":{"b":[1]}}],"more":1}`,
			[]string{`services[0].modle: unknown field "modle"`, `services[1].name: must be a string, not "7"`, `services[1].extra: unknown field`, `more: unknown field`},
		},
		"syntax":        {config.KindServices, "{\"services\":[\n {\"name\": oops}]}", []string{"line 2, column 11"}},
		"cut off":       {config.KindServices, `{"services":[`, []string{"line 1, column 13: unexpected EOF"}},
		"empty":         {config.KindServices, ``, []string{"unexpected EOF"}},
		"trailing text": {config.KindServices, `{} {}`, []string{"text follows"}},
		"repeated":      {config.KindServices, `{"services":[],"services":[]}`, []string{`field "services" is repeated`}},
		"wrong case":    {config.KindServices, `{"Services":[]}`, []string{`unknown field "Services"`}},
		"null":          {config.KindServices, `{"services":null}`, []string{"services: must be an array, not null"}},
		"not an object": {config.KindServices, `[]`, []string{"must be an object, not an array"}},
		"fraction":      {config.KindServices, `{"services":[{"name":"a","type":"plain","deadline_ms":1.5}]}`, []string{"services[0].deadline_ms: must be an integer"}},
		"unknown kind":  {config.Kind("odd"), `{}`, []string{`"odd"`}},
		"too large":     {config.KindServices, strings.Repeat(" ", objectapi.MaxValueBytes), []string{"limit"}},
		"services": {
			config.KindServices,
			`{"services":[{"name":"a","type":"model"},{"name":"a","type":"plain","model":"m"},{"name":"","type":"odd","deadline_ms":-1},{"name":"c","type":"model","model":"m"}]}`,
			[]string{
				`services[0].model: is not set on model service "a"`, `services[1].name: name "a" is used by services[0].name already`,
				`services[1].model: is set on plain service "a"`, `services[2].name: is not set`, `services[2].type: "odd"`,
				`services[2].deadline_ms: -1`, `services[3].model: model "m" is used by services[1].model already`,
			},
		},
		"teams": {
			config.KindTeams,
			fmt.Sprintf(`{"teams":[{"name":"a","key_hashes":[%q,"zz"],"weight":-1},{"name":"a","key_hashes":[%q,%q],"tokens_per_second":-1,"services":["s","s"]}]}`, hash, hash, strings.ToUpper(hash)),
			[]string{
				"teams[0].key_hashes[1]: must be a SHA-256", "teams[0].weight: -1", "teams[1].name", "teams[1].key_hashes[0]: key hash",
				"teams[1].key_hashes[1]: must be", "teams[1].tokens_per_second", "teams[1].services[1]",
			},
		},
		"endpoints": {
			config.KindEndpoints,
			`{"endpoints":[{"name":"a b","service":"","host":"h","zone":"z","address":"localhost:1","weight":101},{"name":"c","service":"s","host":"h","zone":"z","address":"10.0.0.1:0"}]}`,
			[]string{"endpoints[0].name", "endpoints[0].service", `endpoints[0].address: "localhost:1"`, "endpoints[0].weight: 101", "endpoints[1].address"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := config.Decode(c.kind, []byte(c.value))
			assert.Assert(t, err != nil)
			lines := strings.Split(err.Error(), "\n")
			assert.Equal(t, len(lines), len(c.want), err.Error())
			for _, want := range c.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

func envelope(t *testing.T, value string) []byte {
	t.Helper()
	b, err := json.Marshal(config.Envelope{Writer: "ana", Value: json.RawMessage(value)})
	assert.NilError(t, err)
	return b
}

func TestSnapshotAppliesOnlyGreaterVersions(t *testing.T) {
	empty := config.NewSnapshot()
	s, err := empty.Apply(config.KindServices, 3, envelope(t, services))
	assert.NilError(t, err)
	for _, version := range []uint64{0, 2, 3} {
		_, err = s.Apply(config.KindServices, version, envelope(t, services))
		var stale *config.StaleVersionError
		assert.Assert(t, errors.As(err, &stale), "%v", err)
	}
	_, err = s.Apply(config.KindServices, 4, []byte("{"))
	assert.Assert(t, err != nil)
	next, err := s.Apply(config.KindServices, 9, envelope(t, `{"services":[]}`))
	assert.NilError(t, err)
	assert.Equal(t, next.Version(config.KindServices), uint64(9))
	assert.Equal(t, s.Version(config.KindServices), uint64(3))
	assert.Equal(t, len(s.Services()), 2, "an older snapshot changed")
	assert.Equal(t, len(empty.Versions()), 0)
}

func TestSnapshotIndexes(t *testing.T) {
	s := config.NewSnapshot()
	for kind, value := range map[config.Kind]string{
		config.KindServices: services, config.KindTeams: teams("secret"),
		config.KindEndpoints: endpoints("asistente", "127.0.0.1:9"),
	} {
		assert.Assert(t, !s.Complete())
		next, err := s.Apply(kind, 1, envelope(t, value))
		assert.NilError(t, err)
		s = next
	}
	assert.Assert(t, s.Complete())
	team, ok := s.TeamByKey("secret")
	assert.Assert(t, ok)
	assert.Equal(t, string(team.Name), "puno")
	_, ok = s.TeamByKey("guess")
	assert.Assert(t, !ok)
	service, ok := s.ServiceByModel("m1")
	assert.Assert(t, ok)
	assert.Equal(t, string(service.Name), "asistente")
	assert.Equal(t, len(s.EndpointsOf("asistente")), 1)
	assert.Equal(t, len(s.EndpointsOf("mostrador")), 0)
}

func change(kind config.Kind, value string, seen uint64) config.Change {
	return config.Change{Kind: kind, Value: []byte(value), SeenVersion: seen, Writer: "ana", Now: time.Unix(noon, 0)}
}

func TestAccept(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(memstore.Config{})
	_, err := config.Accept(ctx, store, change(config.KindEndpoints, endpoints("asistente", "127.0.0.1:9"), 0))
	assert.Error(t, err, `endpoints[0].service: service "asistente" does not exist`)
	accepted, err := config.Accept(ctx, store, change(config.KindServices, services, 0))
	assert.NilError(t, err)
	assert.Equal(t, accepted.Version, uint64(1))
	_, err = config.Accept(ctx, store, change(config.KindEndpoints, endpoints("asistente", "127.0.0.1:9"), 0))
	assert.NilError(t, err)
	_, err = config.Accept(ctx, store, change(config.KindTeams, teams("k"), 0))
	assert.NilError(t, err)
	_, err = config.Accept(ctx, store, change(config.KindServices, `{"services":[]}`, 1))
	assert.ErrorContains(t, err, `service "asistente" is missing but endpoint "e1" refers to it`)
	assert.ErrorContains(t, err, `service "mostrador" is missing but team "puno" refers to it`)
}

func TestAcceptLostRace(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(memstore.Config{})
	_, err := config.Accept(ctx, store, change(config.KindServices, services, 0))
	assert.NilError(t, err)
	late := change(config.KindServices, `{"services":[]}`, 0)
	late.Writer = "berta"
	_, err = config.Accept(ctx, store, late)
	var lost *config.LostRaceError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.DeepEqual(t, *lost, config.LostRaceError{
		Kind: config.KindServices, CurrentVersion: 1, Writer: "ana", WrittenAt: time.Unix(noon, 0).UTC(),
	})
	o, err := store.Get(ctx, config.ObjectKind, string(config.KindServices))
	assert.NilError(t, err)
	assert.Equal(t, o.Version, uint64(1))
}

// unknownOutcomeStore is a store whose writes take effect but report an unknown outcome.
type unknownOutcomeStore struct{ *memstore.Store }

func (u unknownOutcomeStore) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	_, _ = u.Store.Put(ctx, o)
	return objectapi.Object{}, &objectapi.OutcomeUnknownError{Kind: o.Kind, Name: o.Name, Cause: context.DeadlineExceeded}
}

func TestAcceptReturnsUnknownOutcome(t *testing.T) {
	store := unknownOutcomeStore{memstore.New(memstore.Config{})}
	_, err := config.Accept(context.Background(), store, change(config.KindServices, services, 0))
	var unknown *objectapi.OutcomeUnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}

func TestAcceptReplacesUndecodableValue(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(memstore.Config{})
	_, err := store.Put(ctx, objectapi.Object{Kind: config.ObjectKind, Name: string(config.KindServices), Value: []byte("{")})
	assert.NilError(t, err)
	_, err = config.Accept(ctx, store, change(config.KindTeams, `{"teams":[]}`, 0))
	assert.ErrorContains(t, err, `"services"`)
	_, err = config.Accept(ctx, store, change(config.KindServices, services, 1))
	assert.NilError(t, err)
}
