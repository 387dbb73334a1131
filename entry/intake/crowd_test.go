package intake

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// queueListener accepts connections in the order in which they were opened, as a backlog does.
type queueListener struct {
	net.Listener
	queue chan net.Conn
}

func (l *queueListener) Accept() (net.Conn, error) {
	c, ok := <-l.queue
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *queueListener) Close() error { return nil }

// queuedConn is an end of a pipe that belongs to a crowd or to an ordinary client.
type queuedConn struct {
	net.Conn
	ordinary bool
	opened   time.Time
}

// TestCrowdOfUnfinishedBodiesLeavesRoom guards against a full listener that makes room for one new connection at a time,
// while connections whose bodies are refused take 300 ms each to end: ordinary clients would wait behind a crowd that
// opens its connections again. It plays the crowd in virtual time.
func TestCrowdOfUnfinishedBodiesLeavesRoom(t *testing.T) {
	const (
		places     = 800
		crowd      = 900
		endTime    = 300 * time.Millisecond
		reopenTime = 500 * time.Millisecond
		ordinary   = 10
		length     = 10 * time.Second
		patience   = time.Second // after which clients give up a connection
	)
	synctest.Test(t, func(t *testing.T) {
		inner := &queueListener{queue: make(chan net.Conn, 10*crowd)}
		l := New(Config{}).Listen(inner, Clients)
		l.limit = places
		done := make(chan struct{})
		open := func(c queuedConn) {
			_, c.Conn = net.Pipe()
			c.opened = time.Now()
			select {
			case <-done:
			default:
				inner.queue <- &c
			}
		}
		var wg sync.WaitGroup
		served, late := 0, 0
		wg.Go(func() {
			for {
				accepted, err := l.Accept()
				if err != nil {
					return
				}
				c := accepted.(*Conn)
				q := c.Conn.(*queuedConn)
				if q.ordinary {
					if served++; time.Since(q.opened) > patience {
						late++
					}
					_ = c.Close()
					continue
				}
				c.BeginBody(func() { // The server's answer, and its wait for unread bytes.
					time.AfterFunc(endTime, func() { _ = c.Close() })
					time.AfterFunc(endTime+reopenTime, func() { open(queuedConn{}) })
				})
			}
		})
		for range crowd {
			open(queuedConn{})
		}
		for range length / (500 * time.Millisecond) {
			time.Sleep(500 * time.Millisecond)
			for range ordinary {
				open(queuedConn{ordinary: true})
			}
		}
		time.Sleep(patience)
		close(done)
		_ = l.Close()
		time.Sleep(2 * (endTime + reopenTime))
		close(inner.queue)
		wg.Wait()
		assert.Equal(t, late, 0, "of %d", served)
		assert.Equal(t, served, int(length/(500*time.Millisecond))*ordinary)
		assert.Assert(t, l.count() <= places)
	})
}
