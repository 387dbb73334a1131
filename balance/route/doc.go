// Package route implements the load balancing policies that pick a request's endpoint.
//
// A Table holds an entry's state of each endpoint: the configuration, the last
// load report, the entry's own dispatches and the error of earlier predictions. A
// Picker is a policy over a Table. Both are safe for concurrent use and take the
// time from their caller. Times passed to one Table must come from one clock.
package route
