// Package client is a client of the operator API of entries.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/operate/answer"
)

// Config holds the settings of a client.
type Config struct {
	// Entries are the base URLs of the operator API of entries, separated by
	// commas, in the order in which they are tried. Required.
	Entries string
	// Key is the operator's key. Required.
	Key string
	// Timeout bounds the request to each entry. Zero means no limit.
	Timeout time.Duration
}

// Validate reports missing and malformed fields.
func (c Config) Validate() finding.List {
	var l finding.List
	for _, entry := range strings.Split(c.Entries, ",") {
		u, err := url.Parse(entry)
		if c.Entries != "" && (err != nil || u.Scheme == "" || u.Host == "") {
			l.Addf("--entry", "%q is not a URL such as http://10.0.0.1:8081", entry)
		}
	}
	if c.Entries == "" {
		l.Addf("--entry", "is not set; give the flag or SISKINFORD_ENTRY")
	}
	if c.Key == "" {
		l.Addf("--operator-key", "is not set; give the flag or SISKINFORD_OPERATOR_KEY")
	}
	return l
}

// Client is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a client.
func New(c Config) *Client {
	return &Client{config: c, http: &http.Client{Timeout: c.Timeout}}
}

// Send sends a script to the first reachable entry. It blocks until the reply
// arrives or ctx ends. After an error other than *UnreachableError it is unknown
// whether a command was accepted.
func (c *Client) Send(ctx context.Context, q answer.Request) (*answer.Reply, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	var all error
	for _, entry := range strings.Split(c.config.Entries, ",") {
		reply, err := c.send(ctx, entry, body)
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) {
			return reply, err
		}
		all = errors.CombineErrors(all, err)
	}
	return nil, all
}

// UnreachableError reports a failure to connect to an entry, so that nothing was sent.
type UnreachableError struct {
	Entry string
	Cause error
}

func (e *UnreachableError) Error() string {
	return "entry at " + e.Entry + " cannot be reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// maxReplyBytes bounds a reply.
const maxReplyBytes = 64 << 20

func (c *Client) send(ctx context.Context, entry string, body []byte) (*answer.Reply, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(entry, "/")+"/v1/query", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		if dialFailed(err) {
			return nil, &UnreachableError{Entry: entry, Cause: err}
		}
		return nil, errors.Wrapf(err, "entry at %s", entry)
	}
	defer response.Body.Close()
	reply := new(answer.Reply)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply); err != nil {
		return nil, errors.Wrapf(err, "entry at %s returned status %d without a valid reply", entry, response.StatusCode)
	}
	return reply, nil
}
