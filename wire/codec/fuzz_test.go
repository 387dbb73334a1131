package codec

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/wire/msg"
)

func seed(f *testing.F, m any) {
	f.Helper()
	var b bytes.Buffer
	assert.NilError(f, Write(&b, m))
	f.Add(b.Bytes())
}

// FuzzReader checks that each message decoded from arbitrary bytes survives a round trip.
func FuzzReader(f *testing.F) {
	seed(f, &msg.Order{ID: 1, Dispatch: &msg.Dispatch{Request: "req_1", Chat: &msg.Chat{Model: "m"}}})
	seed(f, &msg.Order{ID: 2, Events: &msg.EventsOrder{Since: 5}})
	seed(f, &msg.Order{ID: 3, Peer: &msg.Peer{Payload: []byte{1, 2}}})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		for {
			o := new(msg.Order)
			if r.Next(o) != nil {
				return
			}
			var first, second bytes.Buffer
			assert.NilError(t, Write(&first, o))
			again := new(msg.Order)
			assert.NilError(t, NewReader(bytes.NewReader(first.Bytes())).Next(again))
			assert.NilError(t, Write(&second, again))
			assert.DeepEqual(t, first.Bytes(), second.Bytes())
		}
	})
}
