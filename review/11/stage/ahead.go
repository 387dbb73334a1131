package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// aheadChannels is the number of channels, aheadRequests that of the requests on each.
	aheadChannels, aheadRequests = 12, 60
	// aheadWork is the time that a replica needs for a request.
	aheadWork = 1200 * time.Millisecond
	// closeAfter is when a client closes its channel, and leftLimit the bound of the rule.
	closeAfter = 200 * time.Millisecond
	leftLimit  = 500 * time.Millisecond
)

// playAhead has clients send idempotent requests and close their channels soon after. With trouble they have sent
// further ones ahead.
func playAhead(s *site) (bool, error) {
	d := &aheadDesk{site: s, ended: make(map[string]time.Time)}
	for i := range 3 {
		name := fmt.Sprintf("i-desk%d", i)
		if _, err := s.serveReplica(90+i, d.replica(name)); err != nil {
			return false, err
		}
		if err := s.register(name, deskName, 90+i, 12, nil); err != nil {
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
	requests := 1
	if s.trouble {
		requests = aheadRequests
	}
	closed := make(map[string]time.Time)
	var mu sync.Mutex
	var clients sync.WaitGroup
	for n := range aheadChannels {
		clients.Go(func() {
			ids, at, err := s.sendAhead(n%2, requests)
			if err != nil {
				s.note("client: %v", err)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, id := range ids {
				closed[id] = at
			}
		})
	}
	clients.Wait()
	time.Sleep(12 * time.Second)

	late, long, worked := 0, 0, 0
	d.mu.Lock()
	defer d.mu.Unlock()
	s.mu.Lock()
	runs := s.runs
	s.mu.Unlock()
	if len(runs) < aheadChannels {
		return false, fmt.Errorf("only %d requests reached a replica", len(runs))
	}
	for _, r := range runs {
		limit := closed[r.request].Add(leftLimit)
		if r.at.After(limit) {
			late++
			s.note("LATE: %s reached %s %.3f s after its client had closed its channel", r.request, r.replica, r.at.Sub(closed[r.request]).Seconds())
			continue
		}
		long++ // It would have lasted so long.
		if d.ended[r.request].After(limit) {
			worked++
		}
	}
	s.note("%d requests reached a replica over half a second after the close", late)
	s.note("at %d of %d others the replica was still at work half a second after the close", worked, long)
	return late > 5 || 4*worked > long, nil
}

// sendAhead sends requests on one channel without reading, closes it, and returns when.
func (s *site) sendAhead(entry, n int) (ids []string, closed time.Time, err error) {
	var b bytes.Buffer
	for range n {
		id := newID()
		ids = append(ids, id)
		fmt.Fprintf(&b, "GET /look/stock HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: 8000\r\n\r\n", hostName, id, apiKey)
	}
	c, err := net.Dial("tcp", s.address(10+entry, 0))
	if err != nil {
		return ids, time.Now(), err
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return ids, time.Now(), err
	}
	s.note("client: sends %d requests at once to entry %d, the first is %s", n, entry, ids[0])
	time.Sleep(closeAfter)
	err = c.Close()
	closed = time.Now()
	s.note("client: closes the channel of %s", ids[0])
	return ids, closed, err
}

// aheadDesk notes when the replicas stop their work.
type aheadDesk struct {
	site *site

	mu    sync.Mutex
	ended map[string]time.Time
}

func (d *aheadDesk) replica(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if misdirected(w, r, name) {
			return
		}
		id := r.Header.Get("X-Request-Id")
		d.site.noteRun(r, name)
		select {
		case <-time.After(aheadWork):
		case <-r.Context().Done():
		}
		d.mu.Lock()
		d.ended[id] = time.Now()
		d.mu.Unlock()
		d.site.note("replica %s ends its work on %s", name, id)
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Response-Seal", "seal."+name+"."+id)
		fmt.Fprintf(w, "%s did %s\n", name, id)
	})
}
