package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	agentengine "github.com/siskinford/siskinford/agent/engine"
	agentplain "github.com/siskinford/siskinford/agent/plain"
	agentserver "github.com/siskinford/siskinford/agent/server"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/server"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/lab/engine"
	"github.com/siskinford/siskinford/lab/plainservice"
	"github.com/siskinford/siskinford/lab/platform"
	"github.com/siskinford/siskinford/wire/keys"
)

// certValidity is the lifetime of the fleet's certificates.
const certValidity = 24 * time.Hour

// Agent is one endpoint of the fleet with its back end.
type Agent struct {
	Endpoint config.Endpoint
	Server   *agentserver.Agent
	Ring     *timeline.Ring
	// Engine is set for a model service, Plain for a plain one.
	Engine *engine.Engine
	Plain  *plainservice.Service
	// URL is the base URL of the back end.
	URL string
}

// Entry is one entry host of the fleet.
type Entry struct {
	Host   id.Host
	Zone   id.Zone
	Server *server.Server
	Ring   *timeline.Ring
	Store  *objectapi.Client
}

// URL returns the base URL for callers.
func (e *Entry) URL() string { return "http://" + e.Server.CallerAddress() }

// Fleet is a running fleet.
type Fleet struct {
	Config      Config
	Platform    *platform.Platform
	PlatformURL string
	Agents      []*Agent
	Entries     []*Entry

	authority *keys.Authority
	closers   []func()
}

// Start starts the fleet and waits until every entry is ready, that is, has a complete
// configuration and has contacted each endpoint it uses.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{Config: c}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.authority, err = keys.NewAuthority(certValidity); err != nil {
		return err
	}
	f.Platform = platform.New(f.Config.Platform)
	if f.PlatformURL, err = f.serve(f.Platform.Handler()); err != nil {
		return err
	}
	for _, s := range f.Config.Services {
		for i := range s.Replicas {
			zone := f.Config.Zones[i%len(f.Config.Zones)]
			if err := f.startAgent(s.Service, endpointName(s.Name, i), zone); err != nil {
				return err
			}
		}
	}
	if err := f.writeConfigurations(ctx); err != nil {
		return err
	}
	for i := range f.Config.Entries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	f.Platform.SetHosts(f.hostList())
	return f.awaitReady(ctx)
}

// hostList returns the hosts to publish on the platform.
func (f *Fleet) hostList() []objectapi.Host {
	var list []objectapi.Host
	for _, e := range f.Entries {
		list = append(list, objectapi.Host{
			Name: e.Host, Zone: e.Zone, Address: e.Server.PeerAddress(), Role: string(keys.RoleEntry), State: objectapi.HostLive,
		})
	}
	for _, a := range f.Agents {
		list = append(list, objectapi.Host{
			Name: a.Endpoint.Host, Zone: a.Endpoint.Zone, Role: string(keys.RoleAgent), State: objectapi.HostLive,
		})
	}
	return list
}

// serve serves a handler on a free port of loopback.
func (f *Fleet) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen on loopback")
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(listener) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return "http://" + listener.Addr().String(), nil
}

func (f *Fleet) issueCredentials(role keys.Role, host id.Host) (*keys.Credentials, error) {
	material, err := f.authority.Issue(role, host, certValidity)
	if err != nil {
		return nil, err
	}
	return keys.New(material)
}

func (f *Fleet) startAgent(s config.Service, name id.Endpoint, zone id.Zone) error {
	host := id.Host("host-" + string(name))
	a := &Agent{Ring: timeline.NewRing(string(host), 5000, timeline.NewClock(time.Now))}
	deps := agentserver.Deps{Ring: a.Ring, Log: zerolog.Nop()}
	var err error
	if deps.Keys, err = f.issueCredentials(keys.RoleAgent, host); err != nil {
		return err
	}
	if err := f.startBackend(s, a, &deps); err != nil {
		return err
	}
	c := f.Config.Agent
	c.Endpoint = name
	c.Host = host
	if a.Server, err = agentserver.New(c, deps); err != nil {
		return err
	}
	if err := a.Server.Start(); err != nil {
		return err
	}
	a.Endpoint = config.Endpoint{
		Name: name, Service: s.Name, Host: host, Zone: zone, Region: f.Config.Region, Address: a.Server.Address(),
	}
	f.Agents = append(f.Agents, a)
	return nil
}

func (f *Fleet) startBackend(s config.Service, a *Agent, d *agentserver.Deps) error {
	var err error
	if s.Type == config.ServiceTypePlain {
		a.Plain = plainservice.New(f.Config.Plain)
		if a.URL, err = f.serve(a.Plain.Handler()); err != nil {
			return err
		}
		d.Plain, err = agentplain.New(agentplain.Config{URL: a.URL})
		return err
	}
	c := f.Config.Engine
	c.Model = s.Model
	a.Engine = engine.New(c)
	a.Engine.Start()
	f.closers = append(f.closers, a.Engine.Close)
	if a.URL, err = f.serve(a.Engine.Handler()); err != nil {
		return err
	}
	d.Engine, err = agentengine.NewClient(agentengine.Config{URL: a.URL})
	return err
}

// writeConfigurations writes services, teams and endpoints to the platform.
func (f *Fleet) writeConfigurations(ctx context.Context) error {
	store, err := objectapi.NewClient(objectapi.ClientConfig{BaseURL: f.PlatformURL, Caller: "demo"})
	if err != nil {
		return err
	}
	defer store.Close()
	var services config.ServiceSet
	for _, s := range f.Config.Services {
		services.Services = append(services.Services, s.Service)
	}
	var teams config.TeamSet
	for _, t := range f.Config.Teams {
		t.KeyHashes = append(t.KeyHashes, config.HashKey(t.Key))
		teams.Teams = append(teams.Teams, t.Team)
	}
	var endpoints config.EndpointSet
	for _, a := range f.Agents {
		endpoints.Endpoints = append(endpoints.Endpoints, a.Endpoint)
	}
	for _, change := range []struct {
		kind  config.Kind
		value any
	}{
		{config.KindServices, services},
		{config.KindTeams, teams},
		{config.KindEndpoints, endpoints},
	} {
		if err := writeConfiguration(ctx, store, change.kind, change.value); err != nil {
			return err
		}
	}
	return nil
}

func writeConfiguration(ctx context.Context, store objectapi.Store, kind config.Kind, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode configuration %q", kind)
	}
	_, err = config.Accept(ctx, store, config.Change{Kind: kind, Value: data, Writer: "lab", Now: time.Now()})
	return errors.Wrapf(err, "write configuration %q", kind)
}

func (f *Fleet) startEntry(i int) error {
	host := id.Host(fmt.Sprintf("entry-%d", i))
	e := &Entry{Host: host, Zone: f.Config.Zones[i%len(f.Config.Zones)]}
	e.Ring = timeline.NewRing(string(host), 20_000, timeline.NewClock(time.Now))
	credentials, err := f.issueCredentials(keys.RoleEntry, host)
	if err != nil {
		return err
	}
	e.Store, err = objectapi.NewClient(objectapi.ClientConfig{BaseURL: f.PlatformURL, Caller: string(host)})
	if err != nil {
		return err
	}
	c := f.Config.Entry
	c.Host = host
	c.Zone = e.Zone
	c.Region = f.Config.Region
	if e.Server, err = server.New(c, server.Deps{Store: e.Store, Keys: credentials, Ring: e.Ring, Log: zerolog.Nop()}); err != nil {
		return err
	}
	if err := e.Server.Start(); err != nil {
		return err
	}
	f.Entries = append(f.Entries, e)
	return nil
}

// readyInterval is the polling interval of awaitReady.
const readyInterval = 10 * time.Millisecond

func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, e := range f.Entries {
		for !e.Server.Ready() {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "entry %q is not ready", e.Host)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

// shutdownTimeout bounds the shutdown of all entries and agents together.
const shutdownTimeout = 5 * time.Second

// Close shuts down entries, agents, then back ends and platform.
func (f *Fleet) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var all error
	for _, e := range f.Entries {
		all = errors.CombineErrors(all, e.Server.Shutdown(ctx))
		e.Store.Close()
	}
	for _, a := range f.Agents {
		all = errors.CombineErrors(all, a.Server.Shutdown(ctx))
	}
	for _, c := range f.closers {
		c()
	}
	return all
}
