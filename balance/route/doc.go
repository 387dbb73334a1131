// Package route picks the endpoint for a request.
//
// A Table holds what an entry knows about each endpoint: the configuration, the
// last load report, the entry's own dispatches and the error of earlier
// predictions. A Picker is a policy over a Table. Both are safe for concurrent
// use, perform no input or output and take the time from their caller. Times
// passed to one Table must come from one clock.
package route
