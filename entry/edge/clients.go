package edge

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/entry/intake"
	"github.com/siskinford/siskinford/entry/routes"
)

// clientServer serves clients within the limits of the configuration, which may
// change while connections are open.
type clientServer struct {
	server   *http.Server
	log      zerolog.Logger
	draining atomic.Bool
	limits   atomic.Pointer[routes.Limits]
	listener atomic.Pointer[intake.Listener]

	mu    sync.Mutex             // leaf lock
	conns map[net.Conn]time.Time // when each became idle; zero while active
}

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration is in force.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// defaultMaxHeadBytes applies until then, and to readiness checks, operators and collectors.
	defaultMaxHeadBytes = 16 << 10
)

func newClientServer(h http.Handler, log zerolog.Logger) *clientServer {
	c := &clientServer{log: log, conns: make(map[net.Conn]time.Time)}
	c.limits.Store(&routes.Limits{MaxHeaderBytes: defaultMaxHeadBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout})
	c.server = &http.Server{
		Handler:     c.wrap(h),
		ConnState:   c.track,
		ConnContext: intake.WithConn,
		// sweep enforces the idle timeout, because it may change at run time.
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       -1,
		ErrorLog:          nil,
	}
	return c
}

// setLimits brings the limits of a configuration into force. ReadHeaderTimeout stays
// at its default.
func (c *clientServer) setLimits(l routes.Limits) {
	c.limits.Store(&l)
	if listener := c.listener.Load(); listener != nil {
		listener.SetMaxHead(int64(l.MaxHeaderBytes))
	}
}

// listen has the server's connections come from a listener.
func (c *clientServer) listen(l *intake.Listener) {
	c.listener.Store(l)
	l.SetMaxHead(defaultMaxHeadBytes)
	c.setLimits(*c.limits.Load())
}

// wrap makes all responses announce the idle timeout, or while draining the end of the connection.
func (c *clientServer) wrap(h http.Handler) http.Handler {
	return account(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&announcer{ResponseWriter: w, server: c}, r)
	}))
}

// announcer announces what becomes of the connection when the header of a response is written.
type announcer struct {
	http.ResponseWriter
	server *clientServer
	done   bool
}

// Unwrap is used by http.ResponseController.
func (a *announcer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (a *announcer) WriteHeader(status int) {
	a.announce()
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *announcer) Write(b []byte) (int, error) {
	a.announce()
	return a.ResponseWriter.Write(b)
}

func (a *announcer) announce() {
	if a.done {
		return
	}
	a.done = true
	if a.server.draining.Load() {
		a.Header().Set("Connection", "close")
	} else if a.Header().Get("Connection") == "close" {
		return // Others wait for the connection's place, or the rest of the request is not read.
	} else if idle := a.server.limits.Load().IdleTimeout; idle >= time.Second {
		a.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(idle/time.Second)))
	}
}

func (c *clientServer) track(conn net.Conn, s http.ConnState) {
	notePhase(conn, s)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.conns[conn] = time.Now()
	case http.StateActive:
		c.conns[conn] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// sweep closes connections that have been idle for longer than permitted.
func (c *clientServer) sweep(now time.Time) {
	idle := c.limits.Load().IdleTimeout
	if idle <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.conns {
		if !since.IsZero() && now.Sub(since) > idle {
			_ = conn.Close()
		}
	}
}

// drain asks clients to close their connections after the next response.
func (c *clientServer) drain() { c.draining.Store(true) }
