package direct

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzEndToEndHeader guards against values of Connection that end the process, or that let a field of one
// connection through to the endpoint.
func FuzzEndToEndHeader(f *testing.F) {
	for _, seed := range [][2]string{{"close", "x"}, {"X-A, ,x-b", "1"}, {"connection", ""}, {",,,,", "\x00"}, {"Host", "h"}} {
		f.Add(seed[0], seed[1])
	}
	f.Fuzz(func(t *testing.T, connection, value string) {
		out := endToEndHeader(http.Header{"Connection": {connection, value}, "X-A": {value}, "Content-Length": {"1"}, "Te": {value}})
		for _, name := range append(hopByHop, "Content-Length") {
			if _, ok := out[name]; ok {
				t.Fatalf("%q lets %s through", connection, name)
			}
		}
	})
}

// FuzzReadAccounted guards against bodies whose stated length, limit and bytes differ in any way and that are taken for
// whole.
func FuzzReadAccounted(f *testing.F) {
	f.Add([]byte("body"), int64(4), int64(10))
	f.Add([]byte("body"), int64(-1), int64(3))
	f.Add([]byte("body"), int64(3), int64(0))
	f.Add(bytes.Repeat([]byte("x"), 9000), int64(9000), int64(9000))
	f.Fuzz(func(t *testing.T, body []byte, length, limit int64) {
		if length < -1 || limit < 0 || length > 1<<20 || limit > 1<<40 {
			return
		}
		got, err := readAccounted(strings.NewReader(string(body)), nil, length, limit)
		if err != nil {
			return
		}
		if !bytes.Equal(got, body) || limit > 0 && int64(len(got)) > limit || length >= 0 && int64(len(got)) > length {
			t.Fatalf("%d bytes of %d, length %d, limit %d", len(got), len(body), length, limit)
		}
	})
}
