package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/siskinford/siskinford/platform/standin"
)

// Answer is what a client got.
type Answer struct {
	ID          string
	Sent, Ended time.Time
	// Status is zero without an answer.
	Status int
	Body   string
	// Seal is the replica's signature, empty if there is none.
	Seal string
	// Err is why the answer is not complete, nil if it is.
	Err error
}

// Complete reports whether the whole answer arrived.
func (a Answer) Complete() bool { return a.Status != 0 && a.Err == nil }

// HeadWithKey returns the head of a request with a body of the length. An empty key is that of the installation's team.
func HeadWithKey(method, path, request, key string, deadline time.Duration, length int) string {
	if key == "" {
		key = standin.APIKey
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: %d\r\n", method, path, standin.HostName,
		request, key, deadline.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	return b.String() + "\r\n"
}

// exchange writes a request to an open channel and reads the answer. It reports whether the channel may be used again.
func exchange(c net.Conn, br *bufio.Reader, request, text string, wait time.Duration) (a Answer, keep bool) {
	a = Answer{ID: request, Sent: time.Now()}
	defer func() { a.Ended = time.Now() }()
	if a.Err = c.SetDeadline(time.Now().Add(wait)); a.Err != nil {
		return a, false
	}
	if _, a.Err = io.WriteString(c, text); a.Err != nil {
		return a, false
	}
	method, _, _ := strings.Cut(text, " ")
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		a.Err = err
		return a, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Err, a.Seal = resp.StatusCode, string(body), err, resp.Header.Get("X-Response-Seal")
	return a, err == nil && !resp.Close
}
