// Package quarantine finds the parts of prompts that end the endpoint which begins to answer
// them ("queries of death"), and keeps requests with such parts from further endpoints.
//
// An endpoint that ends with unanswered requests is evidence against the parts of their
// prompts, except those with which other answers have begun, at any entry. The evidence is
// strong if the answer's head had arrived but no event: the parts of that request are blocked. Otherwise
// several requests come into question, and their parts are suspected. Parts that have answers too are
// blocked once they are lost at more ends than their share of the requests explains. Entries exchange
// their records; one that has seen an answer to a part vouches for it.
//
// Requests with a suspected part wait until one of them, the trial, has been answered.
// Requests with a blocked part are refused, apart from a few trials in its life, one at a time
// over the fleet. If several parts of one request are blamed together, a request with only some
// of them may be tried at once: its answer tells them apart, so that no caller can have the
// part of another one blocked by naming it beside a harmful one.
//
// A Table has neither clock nor goroutines. Times are durations since an arbitrary origin.
package quarantine
