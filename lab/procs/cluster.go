package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/lab/faultproxy"
	labplatform "github.com/siskinford/siskinford/lab/platform"
	"github.com/siskinford/siskinford/wire/keys"
)

// Names of the services and the model of a Cluster, and the API key of its team.
const (
	ModelService = "asistente"
	Model        = "asistente-1"
	PlainService = "mostrador"
	Team         = "puno"
	TeamKey      = "cluster-key-puno"
)

// Options configure a Cluster.
type Options struct {
	Binaries Binaries
	// Zones are assigned to entries and agents round-robin. Default: lima-a.
	Zones   []id.Zone
	Entries int
	// Teams is the number of teams. Default: 1.
	Teams int
	// ModelEndpoints and PlainEndpoints are the numbers of endpoints of each service.
	ModelEndpoints, PlainEndpoints int
	// NoProxy connects entries to agents directly instead of through fault proxies.
	NoProxy bool
	// Services overrides the two services. Default: see defaultServices.
	Services []config.Service
	// KeyDir is the directory for TLS keys. If empty, keys are passed in the environment.
	KeyDir string
	// EngineArgs, PlainArgs, AgentArgs and EntryArgs are appended to the command lines.
	EngineArgs, PlainArgs, AgentArgs, EntryArgs []string
	// Ranks configures the group of ranks. Nil means none.
	Ranks *RankOptions
}

// Endpoint is an agent with its back end. Entries connect to the agent through Proxy,
// which is nil with Options.NoProxy.
type Endpoint struct {
	Config     config.Endpoint
	Agent      *Process
	Backend    *Process
	BackendURL string
	Proxy      *faultproxy.UDP
	// OperatorURL is the base URL of the agent's operator API.
	OperatorURL string

	args, env []string
}

// Entry is an entry process. It connects to the platform through PlatformProxy.
type Entry struct {
	Host          id.Host
	Zone          id.Zone
	Process       *Process
	PlatformProxy *faultproxy.TCP
	URL           string
	OperatorURL   string
	PeerAddress   string

	args, env []string
}

// Cluster is a fleet that runs as separate processes.
type Cluster struct {
	options     Options
	authority   *keys.Authority
	identities  []identity // with KeyDir only
	Platform    *Process
	PlatformURL string
	Store       *objectapi.Client
	Endpoints   []*Endpoint
	Entries     []*Entry
	Ranks       *Ranks
}

// certValidity is how long the certificates of a cluster are valid.
const certValidity = 24 * time.Hour

// NewCluster starts all processes and waits until all entries are ready.
func NewCluster(ctx context.Context, o Options) (*Cluster, error) {
	if len(o.Zones) == 0 {
		o.Zones = []id.Zone{"lima-a"}
	}
	if len(o.Services) == 0 {
		o.Services = defaultServices()
	}
	c := &Cluster{options: o}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func defaultServices() []config.Service {
	return []config.Service{
		{Name: ModelService, Type: config.ServiceTypeModel, Model: Model, DeadlineMS: 10_000},
		{Name: PlainService, Type: config.ServiceTypePlain, DeadlineMS: 10_000},
	}
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.authority, err = keys.NewAuthority(certValidity); err != nil {
		return err
	}
	if c.Platform, c.PlatformURL, err = c.startStandin(ctx, "platform", "platform"); err != nil {
		return err
	}
	if c.Store, err = objectapi.NewClient(objectapi.ClientConfig{BaseURL: c.PlatformURL, Caller: "lab"}); err != nil {
		return err
	}
	if err := c.startRanks(ctx); err != nil {
		return err
	}
	for i := range c.options.ModelEndpoints {
		if err := c.addEndpoint(ctx, ModelService, i); err != nil {
			return err
		}
	}
	for i := range c.options.PlainEndpoints {
		if err := c.addEndpoint(ctx, PlainService, i); err != nil {
			return err
		}
	}
	if err := c.writeConfigs(ctx); err != nil {
		return err
	}
	for i := range c.options.Entries {
		if err := c.addEntry(ctx, i); err != nil {
			return err
		}
	}
	if err := c.SetHosts(ctx, nil); err != nil {
		return err
	}
	for _, e := range c.Entries {
		if err := AwaitReady(ctx, e.OperatorURL); err != nil {
			return err
		}
	}
	return nil
}

// startStandin starts a stand-in and returns its base URL.
func (c *Cluster) startStandin(ctx context.Context, name string, args ...string) (*Process, string, error) {
	p, err := Start(name, c.options.Binaries.Lab, args, nil)
	if err != nil {
		return nil, "", err
	}
	url, err := p.AwaitPrefix(ctx, "listening on ")
	if err != nil {
		p.Kill()
		return nil, "", err
	}
	return p, url, nil
}

func (c *Cluster) addEndpoint(ctx context.Context, service id.Service, i int) error {
	name := id.Endpoint(fmt.Sprintf("%s-%d", service, i))
	e := &Endpoint{Config: config.Endpoint{
		Name: name, Service: service, Host: id.Host("host-" + string(name)), Zone: c.options.Zones[i%len(c.options.Zones)],
	}}
	command, extra, flag := "engine", c.options.EngineArgs, "--engine-url="
	if service == PlainService {
		command, extra, flag = "plain", c.options.PlainArgs, "--plain-url="
	}
	var err error
	e.Backend, e.BackendURL, err = c.startStandin(ctx, "backend-"+string(name), append([]string{command}, extra...)...)
	if err != nil {
		return err
	}
	c.Endpoints = append(c.Endpoints, e)
	if e.env, err = c.keyEnv(keys.RoleAgent, e.Config.Host); err != nil {
		return err
	}
	e.args = append([]string{"--endpoint=" + string(name), "--host=" + string(e.Config.Host), flag + e.BackendURL}, c.options.AgentArgs...)
	c.assignRanks(e, i)
	address, err := c.startAgent(ctx, e)
	if err != nil {
		return err
	}
	e.args = append(e.args, "--listen="+address)
	if c.options.NoProxy {
		e.Config.Address = address
		return nil
	}
	if e.Proxy, err = faultproxy.NewUDP(address, uint64(i)+1); err != nil {
		return err
	}
	e.Config.Address = e.Proxy.Addr()
	return nil
}

func (c *Cluster) startAgent(ctx context.Context, e *Endpoint) (string, error) {
	p, err := Start("agent-"+string(e.Config.Name), c.options.Binaries.Agent, e.args, e.env)
	if err != nil {
		return "", err
	}
	e.Agent = p
	event, err := p.AwaitEvent(ctx, "agent.started")
	if err != nil {
		return "", err
	}
	operators, err := p.AwaitEvent(ctx, "agent.operators")
	e.OperatorURL = "http://" + operators.Field("message")
	return event.Field("message"), err
}

// RestartAgent starts the agent of an endpoint again at the same address. The
// previous process must have exited.
func (c *Cluster) RestartAgent(ctx context.Context, e *Endpoint) error {
	_, err := c.startAgent(ctx, e)
	return err
}

func (c *Cluster) writeConfigs(ctx context.Context) error {
	endpoints := config.EndpointSet{}
	for _, e := range c.Endpoints {
		endpoints.Endpoints = append(endpoints.Endpoints, e.Config)
	}
	var teams config.TeamSet
	for i := range max(c.options.Teams, 1) {
		teams.Teams = append(teams.Teams, config.Team{Name: teamName(i), KeyHashes: []string{config.HashKey(c.TeamKey(i))}})
	}
	if err := c.WriteConfig(ctx, config.KindServices, config.ServiceSet{Services: c.options.Services}, 0); err != nil {
		return err
	}
	if err := c.WriteConfig(ctx, config.KindTeams, teams, 0); err != nil {
		return err
	}
	return c.WriteConfig(ctx, config.KindEndpoints, endpoints, 0)
}

func teamName(i int) id.Team {
	if i == 0 {
		return Team
	}
	return id.Team(fmt.Sprintf("%s-%d", Team, i))
}

// TeamKey returns the API key of the i-th team.
func (*Cluster) TeamKey(i int) string {
	if i == 0 {
		return TeamKey
	}
	return fmt.Sprintf("%s-%d", TeamKey, i)
}

// WriteConfig writes a configuration on condition that its version is still seen.
func (c *Cluster) WriteConfig(ctx context.Context, kind config.Kind, value any, seen uint64) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode configuration %q", kind)
	}
	_, err = config.Accept(ctx, c.Store, config.Change{
		Kind: kind, Value: data, SeenVersion: seen, Writer: "lab", Now: time.Now(),
	})
	return errors.Wrapf(err, "write configuration %q", kind)
}

func (c *Cluster) addEntry(ctx context.Context, i int) error {
	e := &Entry{Host: id.Host(fmt.Sprintf("entry-%d", i)), Zone: c.options.Zones[i%len(c.options.Zones)]}
	var err error
	if e.PlatformProxy, err = faultproxy.NewTCP(c.PlatformURL[len("http://"):], uint64(i)+1); err != nil {
		return err
	}
	c.Entries = append(c.Entries, e)
	if e.env, err = c.keyEnv(keys.RoleEntry, e.Host); err != nil {
		return err
	}
	e.args = append([]string{
		"--host=" + string(e.Host), "--zone=" + string(e.Zone), "--platform-url=http://" + e.PlatformProxy.Addr(),
		"--peer-listen=127.0.0.1:0", operatorKeyFlag(),
	}, c.options.EntryArgs...)
	if err := c.startEntry(ctx, e, "127.0.0.1:0", "127.0.0.1:0"); err != nil {
		return err
	}
	return nil
}

// SetHosts replaces the platform's host list by all hosts of the cluster, with
// the given ones marked as leaving.
func (c *Cluster) SetHosts(ctx context.Context, leaving map[id.Host]bool) error {
	var list objectapi.HostList
	add := func(h objectapi.Host) {
		h.State = objectapi.HostLive
		if leaving[h.Name] {
			h.State = objectapi.HostLeaving
		}
		list.Hosts = append(list.Hosts, h)
	}
	for _, e := range c.Entries {
		add(objectapi.Host{Name: e.Host, Zone: e.Zone, Address: e.PeerAddress, Role: string(keys.RoleEntry)})
	}
	for _, e := range c.Endpoints {
		add(objectapi.Host{Name: e.Config.Host, Zone: e.Config.Zone, Role: string(keys.RoleAgent)})
	}
	return c.putStandin(ctx, "/lab/hosts", list)
}

// SetPlatformFaults sets the faults of the platform stand-in.
func (c *Cluster) SetPlatformFaults(ctx context.Context, f labplatform.Faults) error {
	return c.putStandin(ctx, "/lab/faults", f)
}

func (c *Cluster) putStandin(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode %s", path)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.PlatformURL+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "set %s", path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s answered status %d", path, response.StatusCode)
	}
	return nil
}

func (c *Cluster) startEntry(ctx context.Context, e *Entry, callers, operators string) error {
	args := append([]string{"--caller-listen=" + callers, "--operator-listen=" + operators}, e.args...)
	if e.PeerAddress != "" {
		args = append(args, "--peer-listen="+e.PeerAddress)
	}
	p, err := Start(string(e.Host), c.options.Binaries.Entry, args, e.env)
	if err != nil {
		return err
	}
	e.Process = p
	event, err := p.AwaitEvent(ctx, "entry.started")
	if err != nil {
		return err
	}
	e.URL = "http://" + event.Field("callers")
	e.OperatorURL = "http://" + event.Field("operators")
	e.PeerAddress = event.Field("peers")
	return nil
}

// RestartEntry starts an entry again at the same addresses. The previous process
// must have exited.
func (c *Cluster) RestartEntry(ctx context.Context, e *Entry) error {
	return c.startEntry(ctx, e, e.URL[len("http://"):], e.OperatorURL[len("http://"):])
}

// readyPollInterval is the time between readiness probes.
const readyPollInterval = 20 * time.Millisecond

// AwaitReady polls an entry's readiness endpoint until it succeeds.
func AwaitReady(ctx context.Context, operators string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, operators+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "entry at %s is not ready", operators)
		case <-time.After(readyPollInterval):
		}
	}
}

// Close kills all processes of the cluster.
func (c *Cluster) Close() {
	for _, e := range c.Entries {
		kill(e.Process)
		e.PlatformProxy.Close()
	}
	for _, e := range c.Endpoints {
		kill(e.Agent)
		kill(e.Backend)
		if e.Proxy != nil {
			e.Proxy.Close()
		}
	}
	if c.Ranks != nil {
		kill(c.Ranks.Process)
	}
	if c.Store != nil {
		c.Store.Close()
	}
	kill(c.Platform)
}

func kill(p *Process) {
	if p != nil {
		p.Resume()
		p.Kill()
	}
}
