package direct

import (
	"net/http"
	"strings"
)

// hopByHop lists the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardable returns a copy of a header without the fields that concern one
// connection only and without the length, which is set anew.
func forwardable(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range out.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			if name = strings.TrimSpace(name); name != "" {
				out.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	out.Del("Content-Length")
	out.Del("Expect")
	return out
}

// copyHeader adds the fields of an endpoint's answer. An answer without a
// content type keeps none.
func copyHeader(dst, src http.Header) {
	for name, values := range forwardable(src) {
		dst[name] = values
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil
	}
}
