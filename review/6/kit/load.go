package kit

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"
)

// Request is what a Load sends.
type Request struct {
	Method, Path string
	Deadline     time.Duration
	// Key replaces the key of the installation's team. It may be empty.
	Key string
}

// Sent is a request of a Load with its answer.
type Sent struct {
	Answer
	Request
	Entry int
}

// Load sends a request every interval to each entry, over kept channels, until stop is closed.
func (k *Kit) Load(q Request, interval time.Duration, stop <-chan struct{}) (wait func() []Sent) {
	var (
		mu   sync.Mutex
		list []Sent
		wg   sync.WaitGroup
	)
	for i := range k.opt.Entries {
		wg.Go(func() {
			ch := &channel{address: k.Address(i)}
			defer ch.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				s := Sent{Request: q, Entry: i, Answer: ch.send(k, q)}
				mu.Lock()
				list = append(list, s)
				mu.Unlock()
			}
		})
	}
	return func() []Sent {
		wg.Wait()
		return list
	}
}

// channel is a kept channel to an entry.
type channel struct {
	address string
	conn    net.Conn
	br      *bufio.Reader
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *channel) send(k *Kit, q Request) Answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return Answer{ID: k.NewID(), Sent: time.Now(), Ended: time.Now(), Err: err}
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	a, keep := Send(k, c.conn, c.br, q)
	if !keep {
		c.close()
	}
	return a
}

// Send sends a request with an ID of its own on an open channel and reads the answer. It reports whether the channel may be used again.
func Send(k *Kit, c net.Conn, br *bufio.Reader, q Request) (Answer, bool) {
	request, body := k.NewID(), ""
	if q.Method == http.MethodPost {
		body = "item=1"
	}
	return exchange(c, br, request, HeadWithKey(q.Method, q.Path, request, q.Key, q.Deadline, len(body))+body, q.Deadline+time.Second)
}
