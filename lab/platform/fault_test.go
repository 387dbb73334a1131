package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/objectapi"
	lab "github.com/siskinford/siskinford/lab/platform"
)

func object(name, value string) objectapi.Object {
	return objectapi.Object{Kind: kind, Name: name, Value: []byte(value)}
}

// TestLostAnswers guards against a write that is reported wrongly or applied twice when
// its response is lost or its first attempt arrives late.
func TestLostAnswers(t *testing.T) {
	cases := map[string]struct {
		faults  lab.Faults
		version uint64
		wantErr any
		want    string
	}{
		"answer lost after a create":         {faults: lab.Faults{LoseAnswers: 1}, want: "mine"},
		"answer lost after an update":        {faults: lab.Faults{LoseAnswers: 1}, version: 1, want: "mine"},
		"two answers lost":                   {faults: lab.Faults{LoseAnswers: 2}, version: 1, want: "mine"},
		"write held on its way":              {faults: lab.Faults{HoldWrites: 1}, version: 1, want: "mine"},
		"two writes held on their way":       {faults: lab.Faults{HoldWrites: 2}, version: 1, want: "mine"},
		"answer lost, then stale reads":      {faults: lab.Faults{LoseAnswers: 1, StaleVersions: 1}, version: 1, want: "mine"},
		"answer of a conflicting write lost": {faults: lab.Faults{LoseAnswers: 1}, version: 7, wantErr: new(*objectapi.OutcomeUnknownError), want: "old"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, cl := client(t, nil)
			ctx := context.Background()
			if c.version > 0 {
				_, err := p.Store().Put(ctx, object("a", "old"))
				assert.NilError(t, err)
			}
			assert.NilError(t, p.SetFaults(c.faults))
			o := object("a", "mine")
			o.Version = c.version
			if c.wantErr != nil {
				ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				_, err := cl.Put(ctx, o)
				assert.Assert(t, errors.As(err, c.wantErr), "%v", err)
			} else {
				written, err := cl.Put(ctx, o)
				assert.NilError(t, err)
				assert.Equal(t, written.Version, c.version+1)
				assert.Equal(t, string(written.Value), "mine")
			}
			p.ReleaseWrites()
			got, err := p.Store().Get(ctx, kind, "a")
			assert.NilError(t, err)
			assert.Equal(t, string(got.Value), c.want)
			assert.Assert(t, got.Version <= c.version+1, "a late attempt took effect a second time")
		})
	}
}

// TestLostAnswerThenOtherWriters has other writers write before the read-back.
func TestLostAnswerThenOtherWriters(t *testing.T) {
	cases := map[string]struct {
		faults  lab.Faults
		others  int
		wantErr any
	}{
		"lost before effect, one other write":  {faults: lab.Faults{HoldWrites: 1}, others: 1, wantErr: new(*objectapi.ConflictError)},
		"lost before effect, two other writes": {faults: lab.Faults{HoldWrites: 1}, others: 2, wantErr: new(*objectapi.OutcomeUnknownError)},
		"lost after effect, overwritten":       {faults: lab.Faults{LoseAnswers: 1}, others: 1, wantErr: new(*objectapi.OutcomeUnknownError)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := lab.New(lab.Config{})
			// The other writes happen before the first read-back is served.
			handler := p.Handler()
			var acted atomic.Bool
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet && !acted.Swap(true) {
					for range c.others {
						overwrite(t, p)
					}
				}
				handler.ServeHTTP(w, r)
			}))
			t.Cleanup(server.Close)
			assert.NilError(t, p.SetFaults(c.faults))
			_, err := clientAt(t, server.URL, nil).Put(context.Background(), object("a", "mine"))
			assert.Assert(t, errors.As(err, c.wantErr), "%v", err)
			before, _ := p.Store().Get(context.Background(), kind, "a")
			p.ReleaseWrites()
			after, _ := p.Store().Get(context.Background(), kind, "a")
			assert.DeepEqual(t, before, after)
		})
	}
}

func overwrite(t *testing.T, p *lab.Platform) {
	o, _ := p.Store().Get(context.Background(), kind, "a")
	other := object("a", "other")
	other.Version = o.Version
	other.WriteID = "other"
	_, err := p.Store().Put(context.Background(), other)
	assert.Check(t, err)
}

// TestOutcomeUnknownMayArriveLater guards against taking a read-back of the old version
// as failure: the write can still take effect after the client gave up.
func TestOutcomeUnknownMayArriveLater(t *testing.T) {
	p, c := client(t, func(cfg *objectapi.ClientConfig) { cfg.ResolveTimeout = time.Second })
	assert.NilError(t, p.SetFaults(lab.Faults{HoldWrites: 1000}))
	_, err := c.Put(context.Background(), object("a", "mine"))
	var unknown *objectapi.OutcomeUnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	_, err = p.Store().Get(context.Background(), kind, "a")
	assert.ErrorContains(t, err, "does not exist")
	assert.Assert(t, p.ReleaseWrites() > 1)
	got, err := p.Store().Get(context.Background(), kind, "a")
	assert.NilError(t, err)
	assert.Equal(t, got.Version, uint64(1))
}

func TestDeleteAnswerLost(t *testing.T) {
	p, c := client(t, nil)
	o, err := c.Put(context.Background(), object("a", "x"))
	assert.NilError(t, err)
	assert.NilError(t, p.SetFaults(lab.Faults{LoseAnswers: 1}))
	assert.NilError(t, c.Delete(context.Background(), kind, "a", o.Version))
	_, err = p.Store().Get(context.Background(), kind, "a")
	assert.ErrorContains(t, err, "does not exist")
}

// TestOutage checks the errors of client methods during each kind of outage, and that a
// client in backoff sends no calls.
func TestOutage(t *testing.T) {
	for _, outage := range []lab.Outage{lab.OutageRefuse, lab.OutageHang} {
		p, c := client(t, func(cfg *objectapi.ClientConfig) {
			cfg.CallTimeout = 20 * time.Millisecond
			cfg.PollGrace = 20 * time.Millisecond
			cfg.ResolveTimeout = 50 * time.Millisecond
			cfg.Backoff = objectapi.Backoff{Min: time.Hour, Max: time.Hour}
		})
		assert.NilError(t, p.SetFaults(lab.Faults{Outage: outage}))
		ctx := context.Background()
		var unavailable *objectapi.UnavailableError
		var unknown *objectapi.OutcomeUnknownError
		_, err := c.Put(ctx, object("a", "x"))
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		for i := 0; i < 3; i++ {
			_, err = c.Get(ctx, kind, "a")
			assert.Assert(t, errors.As(err, &unavailable), "%v", err)
		}
		assert.Assert(t, !c.Available())
		p.ResetCalls()
		_, err = c.Hosts(ctx)
		assert.Assert(t, errors.As(err, &unavailable), "%v", err)
		_, _, err = c.List(ctx, kind)
		assert.Assert(t, errors.As(err, &unavailable), "%v", err)
		_, err = c.Put(ctx, object("a", "x"))
		assert.Assert(t, errors.As(err, &unavailable), "%v", err)
		assert.Equal(t, p.Calls().Total, int64(0), "a client in backoff called the platform")
	}
}

func TestRefusedConnectionIsNotUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	_, err = clientAt(t, "http://"+l.Addr().String(), nil).Put(context.Background(), object("a", "x"))
	var unavailable *objectapi.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}

func TestRateLimitOfPlatformAndClient(t *testing.T) {
	p := lab.New(lab.Config{WritesPerSecond: 1e-9})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	c := clientAt(t, server.URL, nil)
	_, err := c.Put(context.Background(), object("a", "x"))
	assert.NilError(t, err)
	var unavailable *objectapi.UnavailableError
	_, err = c.Put(context.Background(), object("b", "x"))
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	assert.ErrorContains(t, err, "429")
	assert.Equal(t, p.Calls().Limited, int64(1))
	own := clientAt(t, server.URL, func(cfg *objectapi.ClientConfig) { cfg.ReadsPerSecond = 1e-9 })
	_, _, err = own.List(context.Background(), kind)
	assert.NilError(t, err)
	_, _, err = own.List(context.Background(), kind)
	assert.ErrorContains(t, err, "budget")
	assert.Equal(t, p.Calls().ByCaller["test"][lab.CallList], int64(1))
}

// TestWriteIsNotReplayed guards against the HTTP transport resending a write when its
// connection is closed, at each point of the request.
func TestWriteIsNotReplayed(t *testing.T) {
	for _, cut := range []string{"after accept", "after header", "after request"} {
		for _, method := range []string{http.MethodPut, http.MethodDelete} {
			t.Run(cut+"/"+method, func(t *testing.T) {
				s := newCutServer(t, cut)
				c := clientAt(t, s.url(), func(cfg *objectapi.ClientConfig) { cfg.ResolveTimeout = time.Nanosecond })
				ctx := context.Background()
				_, _ = c.Get(ctx, kind, "a") // leaves an idle connection that a replay could use
				s.cutting.Store(true)
				var err error
				if method == http.MethodPut {
					_, err = c.Put(ctx, object("a", "x"))
				} else {
					err = c.Delete(ctx, kind, "a", 1)
				}
				var unknown *objectapi.OutcomeUnknownError
				assert.Assert(t, errors.As(err, &unknown), "%v", err)
				assert.Equal(t, s.attempts.Load(), int64(1), "attempts to send the write")
			})
		}
	}
}

// cutServer responds to reads. Once cutting is set, it closes each connection at a given
// point and counts the attempts to send a write.
type cutServer struct {
	listener net.Listener
	cutting  atomic.Bool
	attempts atomic.Int64
}

func newCutServer(t *testing.T, cut string) *cutServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &cutServer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, cut)
		}
	}()
	return s
}

func (s *cutServer) url() string { return "http://" + s.listener.Addr().String() }

func (s *cutServer) serve(conn net.Conn, cut string) {
	defer func() { _ = conn.Close() }()
	if !s.cutting.Load() {
		readHeader(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		// A write on this idle connection gets no response.
		if readHeader(conn) {
			s.attempts.Add(1)
		}
		return
	}
	s.attempts.Add(1)
	if cut == "after accept" {
		return
	}
	readHeader(conn)
	if cut == "after request" {
		_, _ = conn.Read(make([]byte, 1))
	}
}

// readHeader reads a header and reports whether it was complete.
func readHeader(conn net.Conn) bool {
	var b []byte
	one := make([]byte, 1)
	for !bytes.HasSuffix(b, []byte("\r\n\r\n")) {
		if _, err := conn.Read(one); err != nil {
			return false
		}
		b = append(b, one...)
	}
	return true
}

func TestFaultControlOverHTTP(t *testing.T) {
	p := lab.New(lab.Config{})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	assert.Equal(t, send(t, http.MethodPut, server.URL+"/lab/faults", `{"outage":"refuse"}`), http.StatusOK)
	assert.Equal(t, send(t, http.MethodGet, server.URL+objectapi.PathHosts, ""), http.StatusServiceUnavailable)
	assert.Equal(t, send(t, http.MethodPut, server.URL+"/lab/faults", `{"outage":"odd","delay_ms":-1}`), http.StatusBadRequest)
	assert.Equal(t, send(t, http.MethodPut, server.URL+"/lab/faults", `{"unknown":1}`), http.StatusBadRequest)
	assert.Equal(t, send(t, http.MethodPut, server.URL+"/lab/faults", `{}`), http.StatusOK)
	assert.Equal(t, send(t, http.MethodPut, server.URL+"/lab/hosts", `{"hosts":[{"name":"h1"}]}`), http.StatusOK)
	hosts, err := clientAt(t, server.URL, nil).Hosts(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 1)
	resp, err := http.Get(server.URL + "/lab/calls")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var calls lab.Calls
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&calls))
	assert.Equal(t, calls.ByKind[lab.CallHosts], int64(2), strconv.FormatInt(calls.Total, 10))
}

func send(t *testing.T, method, url, body string) int {
	t.Helper()
	r, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

func TestHostLag(t *testing.T) {
	p := lab.New(lab.Config{HostLag: time.Hour})
	p.SetHosts([]objectapi.Host{{Name: "h1"}})
	p.SetHostLag(0)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	c := clientAt(t, server.URL, nil)
	hosts, err := c.Hosts(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 0)
	p.SetHosts([]objectapi.Host{{Name: "h1", State: objectapi.HostLeaving}})
	hosts, err = c.Hosts(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, hosts[0].State, objectapi.HostLeaving)
}
