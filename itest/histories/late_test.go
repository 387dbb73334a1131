package histories

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// frameWaiter receives the first reply frame to an order.
type frameWaiter struct{ frames chan *msg.Frame }

func (w frameWaiter) Reply(r *msg.Reply) {
	select {
	case w.frames <- r.Frame:
	default:
	}
}

func (frameWaiter) Lost(bool, error) {}

// firstFrame sends an order and returns the first frame of the reply.
func firstFrame(t *testing.T, conn *link.Conn, o *msg.Order) *msg.Frame {
	t.Helper()
	w := frameWaiter{frames: make(chan *msg.Frame, 1)}
	call, err := conn.Send(o, w)
	assert.NilError(t, err)
	defer call.Release()
	select {
	case f := <-w.frames:
		return f
	case <-time.After(time.Minute):
		t.Fatal("no answer")
		return nil
	}
}

// TestLateDispatchIsRefused verifies that a dispatch that arrives over another
// connection after its attempt was settled as not run is refused.
func TestLateDispatchIsRefused(t *testing.T) {
	creds, err := newCredentials()
	assert.NilError(t, err)
	for _, tc := range []struct {
		name   string
		settle func(t *testing.T, conn *link.Conn, d *msg.Dispatch)
	}{
		{"after the entry attached", func(t *testing.T, conn *link.Conn, d *msg.Dispatch) {
			f := firstFrame(t, conn, &msg.Order{Attach: &msg.Attach{Attempt: d.Attempt, Incarnation: d.Incarnation, Team: d.Team, Action: d.Action}})
			assert.Equal(t, f.Refused.Code, msg.CodeUnknownAttempt)
		}},
		{"after the caller left", func(t *testing.T, conn *link.Conn, d *msg.Dispatch) {
			reply, err := conn.Call(context.Background(), &msg.Order{Withdraw: &msg.Withdraw{
				Attempt: d.Attempt, Incarnation: d.Incarnation, Team: d.Team, Action: d.Action,
			}})
			assert.NilError(t, err)
			assert.Equal(t, reply.Status.State, msg.StateTombstoned)
			want := outcome.NotRun
			if d.Action != "" {
				want = outcome.Unknown // another attempt of the action may still arrive
			}
			assert.Equal(t, reply.Status.Outcome, want)
		}},
		{"to another incarnation", func(_ *testing.T, _ *link.Conn, d *msg.Dispatch) { d.Incarnation = "former" }},
		{"to another endpoint", func(_ *testing.T, _ *link.Conn, d *msg.Dispatch) { d.Endpoint = "other" }},
		{"past its deadline in the queue", func(_ *testing.T, _ *link.Conn, d *msg.Dispatch) { d.QueueTimeoutMicros = -1 }},
	} {
		for _, action := range []string{"", "act"} {
			t.Run(tc.name+" "+action, func(t *testing.T) {
				w, err := newWorld(1, creds)
				assert.NilError(t, err)
				defer w.close()
				e := w.endpoints[0]
				first, err := w.entries[0].pool.Conn(context.Background(), e.current().Address())
				assert.NilError(t, err)
				second, err := w.entries[1].pool.Conn(context.Background(), e.current().Address())
				assert.NilError(t, err)
				d := &msg.Dispatch{
					Request: "req", Attempt: "att", Incarnation: e.current().Incarnation(), Endpoint: e.name, Team: team,
					Service: service, QueueTimeoutMicros: time.Minute.Microseconds(),
					Plain: &msg.HTTPRequest{Method: "POST", Path: "/", Header: []msg.Header{{Name: headerRequest, Value: "req"}}},
				}
				if action != "" {
					d.Action = "act"
				}
				tc.settle(t, first, d)
				f := firstFrame(t, second, &msg.Order{Dispatch: d})
				assert.Assert(t, f.Refused != nil)
				assert.Equal(t, w.executions.requests["req"], 0)
			})
		}
	}
}
