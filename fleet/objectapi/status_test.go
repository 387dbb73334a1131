package objectapi

import (
	"errors"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestStatusOutsideHTTPIsNoAnswer guards against an object API in trouble whose answer has a status such as 000: a
// write that may have taken effect counts as rejected, and the circuit breaker as fed with a success.
func TestStatusOutsideHTTPIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "600"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = c.Read(make([]byte, 4096))
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 0\r\n\r\n")
					_ = c.Close()
				}
			}()
			c, err := NewClient(ClientConfig{BaseURL: "http://" + l.Addr().String(), Caller: "test"})
			assert.NilError(t, err)
			t.Cleanup(c.Close)
			for range circuitThreshold {
				_, err = c.Get(t.Context(), "kind", "name")
				var unavailable *UnavailableError
				assert.Assert(t, errors.As(err, &unavailable), "%v", err)
			}
			assert.Assert(t, !c.Available())
		})
	}
}
