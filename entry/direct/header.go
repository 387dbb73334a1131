package direct

import (
	"net/http"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of h without hop-by-hop fields and without Content-Length,
// which is computed again.
func endToEndHeader(h http.Header) http.Header {
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

// copyHeader copies the fields of an endpoint's response. Without a Content-Type, content
// sniffing is disabled.
func copyHeader(dst, src http.Header) {
	for name, values := range endToEndHeader(src) {
		dst[name] = values
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil
	}
}

// copyLength copies the length that a response without a body states, of the body of another
// method or of the client's copy.
func copyLength(dst, src http.Header) {
	if length, ok := src["Content-Length"]; ok {
		dst["Content-Length"] = length
	}
}
