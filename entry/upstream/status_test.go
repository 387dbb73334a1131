package upstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestStatusOutsideHTTPIsNoAnswer guards against an endpoint in trouble whose answer has a status such as 000:
// it reaches the client as an answer, or is skipped like an interim one so that the next answer is taken for it.
func TestStatusOutsideHTTPIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			pool, conns := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := read(r); err != nil {
						return
					}
					fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nContent-Length: 2\r\n\r\nno", status)
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			for range 2 {
				got, err := exchange(t, pool, request("GET", "/x", ""))
				assert.ErrorContains(t, err, "is not a status")
				assert.Equal(t, got, "")
			}
			assert.Equal(t, conns.Load(), int32(2)) // The first connection was not used again.
		})
	}
}
