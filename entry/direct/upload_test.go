package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

// TestResetDuringUploadIsNoAnswer guards against answers without a length that reach the client as complete although
// the endpoint reset the connection, while the body of the request was still written to it. The forced form of the race
// is TestResetDuringUploadIsNotComplete (entry/upstream).
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	const requests = 40
	upload := strings.Repeat("u", 3<<20)
	for name, c := range map[string]struct {
		route routes.Route
		head  string
		// whole is true if the endpoint reads the upload and closes.
		whole bool
	}{
		"idempotent":            {routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}, okHead, false},
		"non-idempotent":        {routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 1}, okHead, false},
		"stream":                {stream, streamHead, false},
		"idempotent, whole":     {routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}, okHead, true},
		"non-idempotent, whole": {routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 1}, okHead, true},
		"stream, whole":         {stream, streamHead, true},
	} {
		t.Run(name, func(t *testing.T) {
			pieces := 0
			b := &rawBackend{}
			var err error
			b.listener, err = net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = b.listener.Close() })
			serve := func(conn net.Conn, pieces int) {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(c.head, "ID", r.Header.Get("Request"))+"Connection: close\r\n\r\n"+wantEvents(1, 1))
				if c.whole {
					_, _ = io.Copy(io.Discard, r.Body)
					return
				}
				for range pieces {
					_, _ = io.WriteString(conn, "data: "+strings.Repeat("x", 4<<10)+"\n\n")
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			go func() {
				for {
					conn, err := b.listener.Accept()
					if err != nil {
						return
					}
					pieces = pieces%20 + 1
					go serve(conn, pieces)
				}
			}()
			route := c.route
			route.Host, route.Prefix, route.Timeout, route.TargetLatency = "h.example", testPrefix, 5*time.Second, time.Second
			route.Split = []routes.WeightedService{{Service: "s", Weight: 1}}
			table, err := routes.NewTable(routes.Config{
				Version: 1, Routes: []routes.Route{route}, Services: []routes.Service{{Name: "s"}}, Limits: routes.Limits{MaxBodyBytes: 4 << 20},
				Teams: []routes.Team{{Name: "team-a", Keys: []string{"key-a"}}},
			})
			assert.NilError(t, err)
			e := newEntry(t, c.route)
			h := NewHandler(Options{
				Codec: testCodec{}, Host: "upload", Entries: func() int { return 1 }, Log: zerolog.Nop(),
				Retries: retry.WindowConfig{Ratio: 0.2, ExtraRetries: 1000, Length: 10 * time.Second},
			})
			h.SetTable(table)
			h.SetEndpoints([]Endpoint{b.endpoint("a"), {Name: id.Endpoint("b"), Service: "s", Address: b.listener.Addr().String(), Slots: 4}})
			e.handler, e.server.Config.Handler = h, h
			for range requests {
				got := e.sendBody(t.Context(), http.MethodPost, upload)
				complete := got.err == nil && got.status == http.StatusOK
				assert.Equal(t, complete, c.whole, "%d bytes, status %d: %v", len(got.body), got.status, got.err)
			}
		})
	}
}
