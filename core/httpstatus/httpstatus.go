// Package httpstatus checks the status codes of HTTP answers. It has no dependencies, for
// programs that must stay small.
package httpstatus

// First and last status codes of HTTP.
const (
	first = 100
	last  = 599
)

// Valid reports whether a status code belongs to an answer. A server in trouble may send others, for
// example 000, which the standard library accepts: such bytes are no answer.
func Valid(code int) bool { return code >= first && code <= last }
