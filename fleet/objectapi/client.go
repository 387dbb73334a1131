package objectapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/siskinford/siskinford/core/dial"
	"github.com/siskinford/siskinford/core/finding"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// BaseURL is the platform's address, for example "http://127.0.0.1:7070". Required.
	BaseURL string
	// Caller names this process to the platform. Required.
	Caller string
	// Protocol translates calls to the platform's API. Default: Generic.
	Protocol Protocol
	// CallTimeout bounds each call but watches. Default: 1 s.
	CallTimeout time.Duration
	// PollWait is the time for which the platform is asked to hold a watch open. Default: 5 s.
	PollWait time.Duration
	// PollGrace is the time past PollWait after which a watch without an answer
	// is taken for a silent connection and abandoned. Default: 1 s.
	PollGrace time.Duration
	// ResolveTimeout bounds the search for the outcome of a write whose answer
	// was lost. Default: 3 s.
	ResolveTimeout time.Duration
	// WritesPerSecond is the process's own budget for writes. Default: 20.
	WritesPerSecond float64
	// ReadsPerSecond is the process's own budget for reads and watches. Default: 50.
	ReadsPerSecond float64
	// MaxBudgetWait is the longest time for which a call waits for its budget. Default: 250 ms.
	MaxBudgetWait time.Duration
	// Backoff spaces the calls after failures. Default: 200 ms to 10 s.
	Backoff Backoff
	// KeepAlive is the time without traffic after which a connection is probed,
	// and between probes. Three probes without an answer end a connection.
	// Default: the operating system's.
	KeepAlive time.Duration
	// Source is the address of this host from which connections are opened.
	// Default: the operating system's choice.
	Source netip.Addr
	// Seed seeds the jitter. Zero means a random seed.
	Seed uint64
}

const (
	defaultCallTimeout     = time.Second
	defaultPollWait        = 5 * time.Second
	defaultPollGrace       = time.Second
	defaultResolveTimeout  = 3 * time.Second
	defaultWritesPerSecond = 20
	defaultReadsPerSecond  = 50
	defaultMaxBudgetWait   = 250 * time.Millisecond
	defaultMinBackoff      = 200 * time.Millisecond
	defaultMaxBackoff      = 10 * time.Second
	idleConnTimeout        = 30 * time.Second
	keepAliveProbes        = 3
	writeIDLen             = 16
)

// Validate returns all findings in the configuration.
func (c ClientConfig) Validate() finding.List {
	var l finding.List
	u, err := url.Parse(c.BaseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		l.Addf("base URL", "%q is not an absolute http or https URL", c.BaseURL)
	}
	if c.Caller == "" {
		l.Addf("caller", "is not set")
	}
	if c.PollWait > MaxPollWait {
		l.Addf("poll wait", "%v exceeds %v", c.PollWait, MaxPollWait)
	}
	for _, d := range []struct {
		place string
		value time.Duration
	}{
		{"call timeout", c.CallTimeout},
		{"poll wait", c.PollWait},
		{"poll grace", c.PollGrace},
		{"resolve timeout", c.ResolveTimeout},
		{"budget wait", c.MaxBudgetWait},
		{"minimum backoff", c.Backoff.Min},
		{"maximum backoff", c.Backoff.Max},
	} {
		if d.value < 0 {
			l.Addf(d.place, "%v is negative", d.value)
		}
	}
	if c.WritesPerSecond < 0 || c.ReadsPerSecond < 0 {
		l.Addf("budget", "a rate is negative")
	}
	return l
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c *ClientConfig) provision() {
	orDefault(&c.CallTimeout, defaultCallTimeout)
	orDefault(&c.PollWait, defaultPollWait)
	orDefault(&c.PollGrace, defaultPollGrace)
	orDefault(&c.ResolveTimeout, defaultResolveTimeout)
	orDefault(&c.WritesPerSecond, defaultWritesPerSecond)
	orDefault(&c.ReadsPerSecond, defaultReadsPerSecond)
	orDefault(&c.MaxBudgetWait, defaultMaxBudgetWait)
	orDefault(&c.Backoff.Min, defaultMinBackoff)
	orDefault(&c.Backoff.Max, defaultMaxBackoff)
	if c.Protocol == nil {
		c.Protocol = Generic{}
	}
	if c.Seed == 0 {
		c.Seed = mathrand.Uint64()
	}
}

// Client calls the platform over HTTP. It is safe for concurrent use.
//
// Reads share kept-alive connections, which are abandoned after a timeout so
// that a silent connection is not used again. Each write has a connection of
// its own: net/http repeats a request only on a connection that it reuses, so a
// write is sent again only by the client itself, under the same write ID.
type Client struct {
	cfg     ClientConfig
	reader  *http.Client
	writer  *http.Client
	writes  *rate.Limiter
	reads   *rate.Limiter
	circuit *circuit
	now     func() time.Time
}

var _ Store = (*Client)(nil)

// NewClient returns a client. The error holds all findings in cfg.
func NewClient(cfg ClientConfig) (*Client, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "platform client")
	}
	cfg.provision()
	random := mathrand.New(mathrand.NewPCG(cfg.Seed, cfg.Seed))
	return &Client{
		cfg:     cfg,
		reader:  &http.Client{Transport: transport(cfg, false)},
		writer:  &http.Client{Transport: transport(cfg, true)},
		writes:  budget(cfg.WritesPerSecond),
		reads:   budget(cfg.ReadsPerSecond),
		circuit: newCircuit(cfg.Backoff, random),
		now:     time.Now,
	}, nil
}

func transport(cfg ClientConfig, single bool) *http.Transport {
	d := dial.Config{Source: cfg.Source, Timeout: cfg.CallTimeout, KeepAliveInterval: cfg.KeepAlive, KeepAliveProbes: keepAliveProbes}
	return &http.Transport{
		DialContext:       d.Dialer().DialContext,
		DisableKeepAlives: single,
		IdleConnTimeout:   idleConnTimeout,
		Protocols:         http1(),
	}
}

// http1 excludes HTTP/2, whose transport repeats requests by rules of its own.
func http1() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	return &p
}

func budget(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Patient returns a client whose watches wait for another time. It shares the
// connections, budgets and backoff of c.
func (c *Client) Patient(wait time.Duration) *Client {
	patient := *c
	patient.cfg.PollWait = min(wait, MaxPollWait)
	return &patient
}

// Close closes idle connections.
func (c *Client) Close() {
	c.reader.CloseIdleConnections()
	c.writer.CloseIdleConnections()
}

// Available reports whether a call would be tried now. It is false while the
// platform is down and the backoff has not passed.
func (c *Client) Available() bool { return !c.circuit.open(c.now()) }

// enter takes a call from the budget and passes the circuit. A call that waits
// for the circuit blocks through the backoff, another is refused at once.
func (c *Client) enter(ctx context.Context, limit *rate.Limiter, wait bool) error {
	if !wait && !c.Available() {
		return &UnavailableError{Cause: errors.New("calls are suspended after failures")}
	}
	if err := c.spend(ctx, limit); err != nil {
		return err
	}
	for {
		ok, refused := c.circuit.admit(c.now())
		if ok {
			return nil
		}
		if !wait {
			return &UnavailableError{Cause: errors.Newf("calls are suspended for %v after failures", refused)}
		}
		if err := sleep(ctx, refused); err != nil {
			return err
		}
	}
}

// spend blocks for at most MaxBudgetWait until the budget permits a call.
func (c *Client) spend(ctx context.Context, limit *rate.Limiter) error {
	r := limit.ReserveN(c.now(), 1)
	delay := r.DelayFrom(c.now())
	if delay > c.cfg.MaxBudgetWait {
		r.Cancel()
		return &UnavailableError{Cause: errors.New("the process's budget of calls is used up")}
	}
	return sleep(ctx, delay)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newWriteID() string {
	var b [writeIDLen]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(b[:])
}
