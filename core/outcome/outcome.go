// Package outcome defines how the execution of a request is reported.
package outcome

// Outcome states whether a request was executed at its endpoint.
type Outcome string

const (
	// Ran means that the request was executed and its result is known.
	Ran Outcome = "ran"
	// NotRun means that the request was not executed and will not be.
	NotRun Outcome = "not-run"
	// Unknown means that execution can neither be confirmed nor excluded.
	Unknown Outcome = "unknown"
)

// Header is the HTTP response header that carries the outcome.
const Header = "Siskinford-Outcome"

// Valid reports whether o is one of the defined outcomes.
func (o Outcome) Valid() bool {
	return o == Ran || o == NotRun || o == Unknown
}
