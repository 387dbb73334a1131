package dispatch

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/wire/msg"
)

func data(attempt string, seq uint32, text string) *msg.Frame {
	f := &msg.Frame{Seq: seq, Data: []byte(text)}
	f.Attempt = asAttempt(attempt)
	return f
}

func end(attempt string, count uint32, text string) *msg.Frame {
	f := &msg.Frame{Seq: count, End: &msg.End{Count: count, Checksum: xxhash.Sum64String(text), Outcome: outcome.Ran}}
	f.Attempt = asAttempt(attempt)
	return f
}

func TestAssembler(t *testing.T) {
	for _, tc := range []struct {
		name   string
		adopt  bool
		frames []*msg.Frame
		text   string
		// complete is true if the whole answer is expected.
		complete     bool
		gap, corrupt bool
	}{
		{name: "in order", frames: []*msg.Frame{data("a", 0, "x"), data("a", 1, "y"), end("a", 2, "xy")}, text: "xy", complete: true},
		{name: "duplicates", frames: []*msg.Frame{data("a", 0, "x"), data("a", 0, "x"), data("a", 1, "y"), data("a", 0, "x"), end("a", 2, "xy"), end("a", 2, "xy")}, text: "xy", complete: true},
		{name: "late frame after the end", frames: []*msg.Frame{data("a", 0, "x"), end("a", 1, "x"), data("a", 1, "z")}, text: "x", complete: true},
		{name: "frames of another attempt", frames: []*msg.Frame{data("b", 0, "no"), data("a", 0, "x"), end("b", 1, "no"), data("b", 1, "no"), end("a", 1, "x")}, text: "x", complete: true},
		{name: "missing frame", frames: []*msg.Frame{data("a", 0, "x"), data("a", 2, "z")}, text: "x", gap: true},
		{name: "missing frames before the end", frames: []*msg.Frame{data("a", 0, "x"), end("a", 2, "xy")}, text: "x", gap: true},
		{name: "end that counts fewer frames", frames: []*msg.Frame{data("a", 0, "x"), data("a", 1, "y"), {Attempt: "a", Seq: 2, End: &msg.End{Count: 1}}}, text: "xy", gap: true},
		{name: "crossed order", frames: []*msg.Frame{data("a", 1, "y"), data("a", 0, "x")}, gap: true},
		{name: "changed data", frames: []*msg.Frame{data("a", 0, "q"), end("a", 1, "x")}, text: "q", corrupt: true},
		{name: "attempt of an earlier dispatch of the action", adopt: true, frames: []*msg.Frame{data("b", 0, "x"), data("a", 1, "no"), end("b", 1, "x")}, text: "x", complete: true},
		{name: "other attempt without an action", frames: []*msg.Frame{data("b", 0, "x"), end("b", 1, "x")}},
		{name: "no end", frames: []*msg.Frame{data("a", 0, "x")}, text: "x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newAssembler("a", tc.adopt)
			var text string
			var failure error
			for _, f := range tc.frames {
				fresh, err := a.accept(f)
				if err != nil {
					failure = err
					break
				}
				if fresh {
					text += string(f.Data)
				}
			}
			var gap *GapError
			var corrupt *ChecksumError
			assert.Equal(t, errors.As(failure, &gap), tc.gap)
			assert.Equal(t, errors.As(failure, &corrupt), tc.corrupt)
			assert.Equal(t, text, tc.text)
			assert.Equal(t, a.end != nil, tc.complete)
		})
	}
}
