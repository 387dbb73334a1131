package ranklink

import "github.com/siskinford/siskinford/wire/relay"

// AnswerKind is the kind of an answer of a rank.
type AnswerKind string

const (
	// StateAnswer is a State.
	StateAnswer AnswerKind = "state"
	// LayoutAnswer is a Layout.
	LayoutAnswer AnswerKind = "layout"
	// SampleAnswer is a Sample.
	SampleAnswer AnswerKind = "sample"
	// UnreadAnswer is an answer that the rank's relay or client rejected.
	UnreadAnswer AnswerKind = "unread"
)

// Valid returns the event without the answers that cannot be true. They are passed to invalid.
func (e Event) Valid(shape relay.Shape, invalid func(AnswerKind, error)) Event {
	if e.State != nil {
		if err := e.State.Validate(); err != nil {
			invalid(StateAnswer, err)
			e.State = nil
		}
	}
	if shape == (relay.Shape{}) {
		e.Layout, e.Sample = nil, nil
	}
	if e.Layout != nil {
		if err := e.Layout.Validate(shape); err != nil {
			invalid(LayoutAnswer, err)
			e.Layout = nil
		}
	}
	if e.Sample != nil {
		if err := e.Sample.Validate(shape); err != nil {
			invalid(SampleAnswer, err)
			e.Sample = nil
		}
	}
	return e
}
