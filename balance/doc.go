// Package balance groups the policies for decisions under load. Each policy is
// a package of its own, works on explicit state and an explicit clock, and
// performs no input or output.
package balance
