package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxHostileGrowth bounds the memory that an answer without end may take.
const maxHostileGrowth = 16 << 20

// TestHeadWithoutEnd guards against endpoints that send bytes without end where the head of a
// response is due: the connection is closed at once, and memory does not grow.
func TestHeadWithoutEnd(t *testing.T) {
	long := strings.Repeat("x", 32<<10)
	for name, send := range map[string]func(io.Writer) error{
		"status line":       func(w io.Writer) error { _, err := fmt.Fprint(w, long); return err },
		"header field":      prefixed("HTTP/1.1 200 OK\r\nA: ", long),
		"header fields":     prefixed("HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 4<<10)),
		"interim responses": prefixed("", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 1<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			pool, _ := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, _, err := read(r); err != nil {
					return
				}
				for send(conn) == nil {
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			_, err := exchange(t, pool, request("GET", "/x", ""))
			assert.ErrorIs(t, err, errHeadTooLarge)
			assert.Assert(t, time.Since(began) < 2*time.Second)
			runtime.ReadMemStats(&after)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxHostileGrowth, "%d bytes", after.TotalAlloc-before.TotalAlloc)
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// prefixed returns a sender of a prefix and then of the same bytes again and again.
func prefixed(prefix, repeated string) func(io.Writer) error {
	sent := false
	return func(w io.Writer) error {
		if !sent {
			sent = true
			if _, err := fmt.Fprint(w, prefix); err != nil {
				return err
			}
		}
		_, err := fmt.Fprint(w, repeated)
		return err
	}
}

// TestLargeHeadsAndBodies checks that the bound of heads spares usual heads and does not count bodies.
func TestLargeHeadsAndBodies(t *testing.T) {
	body := strings.Repeat("b", 1<<20)
	pool, conns := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := read(r); err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("a", 30<<10), len(body), body)
		}
	})
	for range 3 {
		got, err := exchange(t, pool, request("GET", "/x", ""))
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(body))
	}
	assert.Equal(t, conns.Load(), int32(1))
}
