package edge

import (
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/entry/intake"
)

const (
	// runtimeShare is the soft limit of the Go runtime as a fraction of the host's memory. The rest is for the program's
	// text, for thread stacks and for what the runtime exceeds its limit by while a crowd arrives.
	runtimeShare = 0.75
	// unreadBodyTime is the time for which a connection is read for a body that its handler did not read.
	unreadBodyTime = 300 * time.Millisecond
	// fullRetryAfter is the Retry-After, in seconds, of a request for whose head there is no room.
	fullRetryAfter = 0.3
)

// limitMemory sets the runtime's soft limit by the memory of the host, unless it is unknown.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(bytes)))
	}
}

// listen listens at a TCP address within the limits of the host.
func (e *Edge) listen(address string, kind intake.Kind) (*intake.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", kind)
	}
	l := e.intake.Listen(inner, kind)
	l.SetMaxHead(defaultMaxHeadBytes)
	return l, nil
}

// accountServer has a server account for its requests at their connections.
func accountServer(s *http.Server) *http.Server {
	s.Handler = account(s.Handler)
	s.ConnContext = intake.WithConn
	s.ConnState = notePhase
	return s
}

// notePhase notes that a connection waits for its next request.
func notePhase(c net.Conn, s http.ConnState) {
	if own, ok := c.(*intake.Conn); ok && s == http.StateIdle {
		own.Idle()
	}
}

// account accounts for the heads of requests, and bounds the time for which a body is read that the handler left.
func account(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := intake.FromContext(r.Context())
		defer conn.End()
		if conn.Crowded() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength != 0 {
			body := &endNotingBody{ReadCloser: r.Body}
			r.Body = body
			defer func() {
				if !body.ended {
					_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime)) // Fails if closed.
				}
			}()
		}
		if !conn.Begin(r.Header) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", strconv.FormatFloat(fullRetryAfter, 'f', 3, 64))
			http.Error(w, "the entry has no memory left for it", http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// endNotingBody notes whether a body was read to its end.
type endNotingBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *endNotingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended = true
	}
	return n, err
}
