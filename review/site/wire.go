package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Channel is a client's channel that serves one request at a time.
type Channel struct {
	net.Conn
	br *bufio.Reader
}

// Open opens a channel.
func Open(address string) (*Channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{c, bufio.NewReader(c)}, nil
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Bytes is false if the channel ended without any byte of an answer.
	Bytes bool
	// Err is set if the answer is not complete.
	Err  error
	Took time.Duration
}

func (a Answer) String() string {
	switch {
	case a.Err != nil && !a.Bytes:
		return fmt.Sprintf("channel closed without an answer after %v (%v)", a.Took.Round(time.Millisecond), a.Err)
	case a.Err != nil:
		return fmt.Sprintf("incomplete answer %d after %v (%v)", a.Status, a.Took.Round(time.Millisecond), a.Err)
	}
	return fmt.Sprintf("%d after %v, seal %q, %d bytes", a.Status, a.Took.Round(time.Millisecond), a.Header.Get("X-Response-Seal"), len(a.Body))
}

// Send sends a request and reads the answer. The client leaves after limit.
func (c *Channel) Send(method, path, host string, header map[string]string, body string, limit time.Duration) Answer {
	began := time.Now()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.SetDeadline(began.Add(limit))
	a := Answer{}
	if _, a.Err = io.WriteString(c, b.String()); a.Err == nil {
		if _, a.Err = c.br.Peek(1); a.Err == nil {
			a.Bytes = true
			var r *http.Response
			if r, a.Err = http.ReadResponse(c.br, &http.Request{Method: method}); a.Err == nil {
				var data []byte
				data, a.Err = io.ReadAll(r.Body)
				a.Status, a.Header, a.Body = r.StatusCode, r.Header, string(data)
			}
		}
	}
	a.Took = time.Since(began)
	return a
}
