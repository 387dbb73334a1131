package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdChannels is the number of channels of the crowd.
	crowdChannels = 2300
	// crowdBody is the length of a body of the crowd, crowdShort how many of its bytes are not sent.
	crowdBody, crowdShort = 2000, 10
	// crowdTime is how long the crowd stays.
	crowdTime = 25 * time.Second
	// crowdLeast is the number of channels without which the case could not run.
	crowdLeast = 1990
	// callers is the number of ordinary clients, callerWait the time in which a request is to be read.
	callers, callerWait = 10, time.Second
	// takeWindow is stableWindowMs, and takeClients the number of clients that have to try.
	takeWindow, takeClients = 3 * time.Second, 7
)

// try is an ordinary client's request on a new channel.
type try struct {
	client        int
	opened, ended time.Duration
	status        int
}

// playCrowd has ordinary clients send requests on new channels to an entry. With trouble a crowd sends bodies to it
// that stop just short of their end.
func playCrowd(s *site) (bool, error) {
	s.memoryMb = 284
	for i := range 3 {
		name := fmt.Sprintf("i-desk%d", i)
		if _, err := s.serveReplica(90+i, &desk{site: s, name: name, work: 20 * time.Millisecond}); err != nil {
			return false, err
		}
		if err := s.register(name, deskName, 90+i, 6, nil); err != nil {
			return false, err
		}
	}
	if err := s.configure(); err != nil {
		return false, err
	}
	if err := s.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var all sync.WaitGroup
	var crowd crowdTally
	if s.trouble {
		all.Go(func() { s.gather(ctx, &crowd) })
	}
	ready := &readiness{}
	all.Go(func() { s.watchReady(ctx, 0, ready) })
	all.Go(func() { s.reportCrowd(ctx, &crowd) })
	var mu sync.Mutex
	var tries []try
	for client := range callers {
		all.Go(func() {
			for ctx.Err() == nil {
				t := s.call(client)
				mu.Lock()
				tries = append(tries, t)
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	all.Wait()
	served := 0
	for _, t := range tries {
		if t.status == http.StatusOK {
			served++
		}
	}
	s.note("ordinary clients: %d of %d requests served", served, len(tries))
	if s.trouble && crowd.opened.Load() < crowdLeast {
		return false, errors.New("the crowd could not open its channels")
	}
	return s.takesNone(tries, ready), nil
}

// takesNone reports whether there is a span of takeWindow in which the entry says that it is ready and takes none of the
// channels that are opened in it, of takeClients clients or more.
func (s *site) takesNone(tries []try, ready *readiness) bool {
	longest, from := time.Duration(0), time.Duration(0)
	for _, first := range tries {
		start := first.opened
		end := start
		trying := make(map[int]bool)
		stop := time.Duration(1 << 62)
		for _, t := range tries {
			if t.opened >= start && t.status != 0 {
				stop = min(stop, t.ended)
			}
		}
		for _, t := range tries {
			if t.opened >= start && t.ended <= stop && t.status == 0 {
				end = max(end, t.ended)
				if t.opened < start+takeWindow {
					trying[t.client] = true
				}
			}
		}
		if len(trying) >= takeClients && ready.through(start, end) && end-start > longest {
			longest, from = end-start, start
		}
	}
	s.note("longest span in which entry 0 is ready and takes no channel opened in it: %.1f s, from %.1f s on", longest.Seconds(), from.Seconds())
	return longest >= takeWindow
}

// call sends a request on a channel of its own. Status 0 means that nothing came within callerWait.
func (s *site) call(client int) try {
	t := try{client: client, opened: time.Since(s.began)}
	defer func() {
		t.ended = time.Since(s.began)
	}()
	id := newID()
	c, err := net.DialTimeout("tcp", s.address(10, 0), callerWait)
	if err == nil {
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(callerWait))
		_, err = fmt.Fprintf(c, "GET /look/stock HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", hostName, id, apiKey)
	}
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			t.status = resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}
	t.ended = time.Since(s.began)
	s.note("ordinary client %d: %s opened at %.3f: status %d, %v", client, id, t.opened.Seconds(), t.status, err)
	return t
}

// readiness holds the answers to the readiness checks.
type readiness struct {
	mu     sync.Mutex
	failed []time.Duration
}

// through reports whether all checks between two times were answered with 200.
func (r *readiness) through(from, to time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.failed {
		if at >= from && at <= to {
			return false
		}
	}
	return true
}

// watchReady sends a readiness check each second.
func (s *site) watchReady(ctx context.Context, entry int, ready *readiness) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + s.address(10+entry, 1) + "/v1/ready")
		status := 0
		if err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		s.note("readiness check: status %d, %v", status, err)
		if status != http.StatusOK {
			ready.mu.Lock()
			ready.failed = append(ready.failed, time.Since(s.began))
			ready.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// crowdTally counts the channels of the crowd.
type crowdTally struct{ opened, open, ended atomic.Int64 }

func (s *site) reportCrowd(ctx context.Context, t *crowdTally) {
	for ctx.Err() == nil {
		s.note("crowd: %d channels opened, %d of them open, %d ended by the entry", t.opened.Load(), t.open.Load(), t.ended.Load())
		time.Sleep(time.Second)
	}
}

// gather keeps the channels of the crowd open.
func (s *site) gather(ctx context.Context, t *crowdTally) {
	var all sync.WaitGroup
	for n := range crowdChannels {
		if n%100 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		all.Go(func() {
			for ctx.Err() == nil {
				s.stopShort(ctx, t)
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// stopShort sends a body but for its last bytes, and stays until the entry ends the channel.
func (s *site) stopShort(ctx context.Context, t *crowdTally) {
	c, err := net.DialTimeout("tcp", s.address(10, 0), 10*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	t.opened.Add(1)
	t.open.Add(1)
	defer t.open.Add(-1)
	head := fmt.Sprintf("POST /look/stock HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n",
		hostName, newID(), apiKey, crowdBody)
	if _, err := c.Write(append([]byte(head), make([]byte, crowdBody-crowdShort)...)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c)
	if ctx.Err() == nil {
		t.ended.Add(1)
	}
}
