// Package balance groups the packages for load balancing, admission control and
// rate limiting. Each works on explicit state, takes the time as an argument and
// performs no input or output.
package balance
