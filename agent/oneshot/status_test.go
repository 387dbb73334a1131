package oneshot

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStatusOutsideHTTPIsNoAnswer guards against a back end in trouble whose answer has a status such as 000,
// which the standard transport returns like any other. Its request may have run.
func TestStatusOutsideHTTPIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, 4096))
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\nno")
				_, _ = c.Read(make([]byte, 1)) // Until the client closes.
			}()
			c := New(Config{DialTimeout: time.Second})
			t.Cleanup(c.Close)
			r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/x", nil)
			assert.NilError(t, err)
			response, err := c.Do(r)
			if err == nil {
				_ = response.Body.Close()
			}
			assert.ErrorContains(t, err, "is not a status")
			assert.Assert(t, !NotSent(err))
		})
	}
}
