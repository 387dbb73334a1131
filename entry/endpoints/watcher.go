package endpoints

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// watcher maintains a connection to the agent of one endpoint and subscribes to its reports.
type watcher struct {
	manager      *Manager
	ctx          context.Context
	cancel       context.CancelFunc
	drainChanged chan struct{}
	// contacted is closed after the first report or failure.
	contacted     chan struct{}
	contactedOnce sync.Once

	// mu is a leaf lock.
	mu       sync.Mutex
	endpoint config.Endpoint
	version  uint64
}

func newWatcher(m *Manager, e config.Endpoint, version uint64) *watcher {
	ctx, cancel := context.WithCancel(m.ctx)
	return &watcher{
		manager: m, ctx: ctx, cancel: cancel, endpoint: e, version: version,
		drainChanged: make(chan struct{}, 1), contacted: make(chan struct{}),
	}
}

func (w *watcher) markContacted() { w.contactedOnce.Do(func() { close(w.contacted) }) }

// update applies a later configuration of the endpoint.
func (w *watcher) update(e config.Endpoint, version uint64) {
	w.mu.Lock()
	changed := w.endpoint.Drain != e.Drain
	w.endpoint = e
	w.version = version
	w.mu.Unlock()
	if !changed {
		return
	}
	select {
	case w.drainChanged <- struct{}{}:
	default:
	}
}

func (w *watcher) current() (config.Endpoint, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoint, w.version
}

// run reconnects whenever the connection is lost: at once if it carried a report,
// otherwise after RedialInterval.
func (w *watcher) run() {
	for w.ctx.Err() == nil {
		endpoint, _ := w.current()
		conn, err := w.manager.pool.Conn(w.ctx, endpoint.Address)
		if err == nil && w.subscribe(conn) {
			continue
		}
		w.markContacted()
		if !w.waitRedial() {
			return
		}
	}
}

func (w *watcher) waitRedial() bool {
	timer := time.NewTimer(w.manager.config.RedialInterval)
	defer timer.Stop()
	select {
	case <-w.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// subscribe receives reports until the connection or the watcher ends, and returns
// whether one arrived.
func (w *watcher) subscribe(conn *link.Conn) bool {
	endpoint, _ := w.current()
	interval := w.manager.reportInterval(endpoint.Zone)
	order := &msg.Order{Reports: &msg.ReportsOrder{IntervalMicros: interval.Microseconds()}}
	receiver := &reportReceiver{watcher: w, endpoint: endpoint.Name}
	call, err := conn.Send(order, receiver)
	if err != nil {
		return false
	}
	defer call.Release()
	w.sendDrain(conn)
	for {
		select {
		case <-w.ctx.Done():
			return receiver.received.Load()
		case <-conn.Done():
			w.manager.handleDisconnect(endpoint.Name)
			return receiver.received.Load()
		case <-w.drainChanged:
			w.sendDrain(conn)
		}
	}
}

// sendDrain sends the agent its configured drain state.
func (w *watcher) sendDrain(conn *link.Conn) {
	endpoint, version := w.current()
	order := &msg.Order{Drain: &msg.DrainOrder{Drain: endpoint.Drain, Version: version}}
	call, err := conn.Send(order, discardReplies{})
	if err == nil {
		call.Release()
	}
}

// reportReceiver is the link.ReplyHandler of a subscription.
type reportReceiver struct {
	watcher  *watcher
	endpoint id.Endpoint
	// incarnation is that of the first report. It is accessed only by Reply, which runs
	// on one goroutine.
	incarnation id.Incarnation
	received    atomic.Bool
}

func (r *reportReceiver) Reply(reply *msg.Reply) {
	report := reply.Report
	switch {
	case report == nil:
		return
	case r.incarnation == "" && report.Endpoint != r.endpoint:
		return // another agent listens at the address
	case r.incarnation == "":
		r.incarnation = report.Incarnation
	}
	r.received.Store(true)
	report.Endpoint = r.endpoint
	report.Incarnation = r.incarnation
	r.watcher.manager.handleReport(r.endpoint, report)
	r.watcher.markContacted()
}

func (r *reportReceiver) Lost(bool, error) {}

// discardReplies is the link.ReplyHandler of orders without replies.
type discardReplies struct{}

func (discardReplies) Reply(*msg.Reply) {}

func (discardReplies) Lost(bool, error) {}
