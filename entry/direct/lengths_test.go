package direct

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadAnswerKeepsItsLength guards against a length that is written anew for an answer that has
// a length but no body.
func TestHeadAnswerKeepsItsLength(t *testing.T) {
	for kind, route := range kinds {
		for name, c := range map[string]struct {
			method, answer, length string
			status                 int
		}{
			"HEAD":              {http.MethodHead, okHead + "Content-Length: 800\r\n\r\n", "800", 200},
			"HEAD of a failure": {http.MethodHead, strings.Replace(okHead, "200 OK", "500 No", 1) + "Content-Length: 800\r\n\r\n", "800", 500},
			"HEAD, no length":   {http.MethodHead, okHead + "Transfer-Encoding: chunked\r\n\r\n", "", 200},
			"204":               {http.MethodPost, strings.Replace(okHead, "200 OK", "204 None", 1) + "\r\n", "", 204},
			"304":               {http.MethodGet, strings.Replace(okHead, "200 OK", "304 Same", 1) + "Content-Length: 800\r\n\r\n", "", 304}, // net/http sends none, as RFC 9110 allows.
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				a := newRawBackend(t, func(int, *http.Request) string { return c.answer })
				e := newEntry(t, route)
				e.handler.SetEndpoints([]Endpoint{a.endpoint("a")})
				got := e.send(c.method)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, c.status)
				assert.Equal(t, got.header.Get("Content-Length"), c.length)
				assert.Equal(t, got.body, "")
			})
		}
	}
}
