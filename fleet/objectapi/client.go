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
	// Caller is the name of this process in the HeaderCaller header. Required.
	Caller string
	// Protocol encodes and decodes the calls of the platform's API. Default: Generic.
	Protocol Protocol
	// CallTimeout bounds each call except watches. Default: 1 s.
	CallTimeout time.Duration
	// PollWait is the long-poll duration that a watch requests. Default: 5 s.
	PollWait time.Duration
	// PollGrace is the time after PollWait at which a watch without a response is
	// canceled, since its connection is presumably dead. Default: 1 s.
	PollGrace time.Duration
	// ResolveTimeout bounds the attempts to determine the outcome of a write whose
	// response was lost. Default: 3 s.
	ResolveTimeout time.Duration
	// WritesPerSecond is the rate limit of this client for writes. Default: 20.
	WritesPerSecond float64
	// ReadsPerSecond is the rate limit of this client for reads and watches. Default: 50.
	ReadsPerSecond float64
	// MaxBudgetWait bounds the wait of a call for the rate limit. Default: 250 ms.
	MaxBudgetWait time.Duration
	// Backoff delays calls after failures. Default: 200 ms to 10 s.
	Backoff Backoff
	// KeepAlive is the idle time before the first TCP keep-alive probe and the interval
	// between probes. Three unanswered probes close a connection.
	// Default: the operating system's.
	KeepAlive time.Duration
	// Source is the local address of connections. Default: the operating system's choice.
	Source netip.Addr
	// OnRestore is called when an answer shows that the store has returned from an older
	// copy. It must not block. Nil means that nobody is told.
	OnRestore func(before, after uint64)
	// Seed seeds the jitter. Default: a random seed.
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

// Validate returns a finding for each invalid setting.
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

func (c *ClientConfig) setDefaults() {
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
// Reads share persistent connections; a failed call closes the idle ones so that a
// dead connection is not reused. Each write opens its own connection: net/http
// retries requests only on reused connections, so only Client retries a write, with
// the same write ID.
type Client struct {
	cfg          ClientConfig
	readClient   *http.Client
	writeClient  *http.Client
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	breaker      *circuitBreaker
	era          *eraTracker
	now          func() time.Time
}

var _ Store = (*Client)(nil)

// NewClient returns a Client. The error lists all invalid settings.
func NewClient(cfg ClientConfig) (*Client, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "platform client")
	}
	cfg.setDefaults()
	random := mathrand.New(mathrand.NewPCG(cfg.Seed, cfg.Seed))
	return &Client{
		cfg:          cfg,
		readClient:   &http.Client{Transport: newTransport(cfg, false)},
		writeClient:  &http.Client{Transport: newTransport(cfg, true)},
		writeLimiter: newLimiter(cfg.WritesPerSecond),
		readLimiter:  newLimiter(cfg.ReadsPerSecond),
		breaker:      newCircuitBreaker(cfg.Backoff, random),
		era:          newEraTracker(cfg.OnRestore),
		now:          time.Now,
	}, nil
}

func newTransport(cfg ClientConfig, oneRequestPerConn bool) *http.Transport {
	d := dial.Config{Source: cfg.Source, Timeout: cfg.CallTimeout, KeepAliveInterval: cfg.KeepAlive, KeepAliveProbes: keepAliveProbes}
	return &http.Transport{
		DialContext:       d.DialEndConn,
		DisableKeepAlives: oneRequestPerConn,
		IdleConnTimeout:   idleConnTimeout,
		Protocols:         http1Only(),
	}
}

// http1Only disables HTTP/2, whose transport has retry rules of its own.
func http1Only() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	return &p
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// WithPollWait returns a client whose watches request a long poll of the given duration,
// at most MaxPollWait. It shares the connections, rate limits, circuit breaker and era of c.
func (c *Client) WithPollWait(wait time.Duration) *Client {
	client := *c
	client.cfg.PollWait = min(wait, MaxPollWait)
	return &client
}

// Close closes idle connections.
func (c *Client) Close() {
	c.readClient.CloseIdleConnections()
	c.writeClient.CloseIdleConnections()
}

// Era implements EraSource. It is zero until an answer with an era has arrived.
func (c *Client) Era() uint64 { return c.era.current() }

// Available reports whether the circuit breaker admits calls now. It is false while
// the platform is down and the backoff has not passed.
func (c *Client) Available() bool { return !c.breaker.open(c.now()) }

// admit applies the rate limit and the circuit breaker to a call. While the circuit is
// open, it blocks if wait is true and otherwise fails at once.
func (c *Client) admit(ctx context.Context, limit *rate.Limiter, wait bool) error {
	if !wait && !c.Available() {
		return &UnavailableError{Cause: errors.New("platform calls are suspended after repeated failures")}
	}
	if err := c.awaitBudget(ctx, limit); err != nil {
		return err
	}
	for {
		ok, delay := c.breaker.admit(c.now())
		if ok {
			return nil
		}
		if !wait {
			return &UnavailableError{Cause: errors.Newf("platform calls are suspended for %v after repeated failures", delay)}
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// awaitBudget blocks for at most MaxBudgetWait until the rate limit permits a call.
func (c *Client) awaitBudget(ctx context.Context, limit *rate.Limiter) error {
	r := limit.ReserveN(c.now(), 1)
	delay := r.DelayFrom(c.now())
	if delay > c.cfg.MaxBudgetWait {
		r.Cancel()
		return &UnavailableError{Cause: errors.New("client-side budget for platform calls is exhausted")}
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
