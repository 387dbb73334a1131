package dispatch

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/wire/msg"
)

func dataFrame(attempt string, seq uint32, text string) *msg.Frame {
	f := &msg.Frame{Seq: seq, Data: []byte(text)}
	f.Attempt = asAttempt(attempt)
	return f
}

func endFrame(attempt string, count uint32, text string) *msg.Frame {
	f := &msg.Frame{Seq: count, End: &msg.End{Count: count, Checksum: xxhash.Sum64String(text), Outcome: outcome.Ran}}
	f.Attempt = asAttempt(attempt)
	return f
}

func TestAssembler(t *testing.T) {
	for _, tc := range []struct {
		name         string
		adopt        bool
		frames       []*msg.Frame
		text         string
		complete     bool
		gap, corrupt bool
	}{
		{name: "in order", frames: []*msg.Frame{dataFrame("a", 0, "x"), dataFrame("a", 1, "y"), endFrame("a", 2, "xy")}, text: "xy", complete: true},
		{name: "duplicates", frames: []*msg.Frame{dataFrame("a", 0, "x"), dataFrame("a", 0, "x"), dataFrame("a", 1, "y"), dataFrame("a", 0, "x"), endFrame("a", 2, "xy"), endFrame("a", 2, "xy")}, text: "xy", complete: true},
		{name: "late frame after the end", frames: []*msg.Frame{dataFrame("a", 0, "x"), endFrame("a", 1, "x"), dataFrame("a", 1, "z")}, text: "x", complete: true},
		{name: "frames of another attempt", frames: []*msg.Frame{dataFrame("b", 0, "no"), dataFrame("a", 0, "x"), endFrame("b", 1, "no"), dataFrame("b", 1, "no"), endFrame("a", 1, "x")}, text: "x", complete: true},
		{name: "missing frame", frames: []*msg.Frame{dataFrame("a", 0, "x"), dataFrame("a", 2, "z")}, text: "x", gap: true},
		{name: "missing frames before the end", frames: []*msg.Frame{dataFrame("a", 0, "x"), endFrame("a", 2, "xy")}, text: "x", gap: true},
		{name: "end that counts fewer frames", frames: []*msg.Frame{dataFrame("a", 0, "x"), dataFrame("a", 1, "y"), {Attempt: "a", Seq: 2, End: &msg.End{Count: 1}}}, text: "xy", gap: true},
		{name: "crossed order", frames: []*msg.Frame{dataFrame("a", 1, "y"), dataFrame("a", 0, "x")}, gap: true},
		{name: "changed data", frames: []*msg.Frame{dataFrame("a", 0, "q"), endFrame("a", 1, "x")}, text: "q", corrupt: true},
		{name: "attempt of an earlier dispatch of the action", adopt: true, frames: []*msg.Frame{dataFrame("b", 0, "x"), dataFrame("a", 1, "no"), endFrame("b", 1, "x")}, text: "x", complete: true},
		{name: "other attempt without an action", frames: []*msg.Frame{dataFrame("b", 0, "x"), endFrame("b", 1, "x")}},
		{name: "no end", frames: []*msg.Frame{dataFrame("a", 0, "x")}, text: "x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newAssembler("a", tc.adopt)
			var text string
			var failure error
			for _, f := range tc.frames {
				isNext, err := a.accept(f)
				if err != nil {
					failure = err
					break
				}
				if isNext {
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
