package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pauseEvents is the number of events of a stream, one each pauseGap.
	pauseEvents = 25
	pauseGap    = 60 * time.Millisecond
	// preempted is the pause of a request that is preempted after its fifth event, and is read again. Clients
	// abandon a stream after a gap of two seconds.
	preempted = 1200 * time.Millisecond
)

// pausing is a replica of the model. With trouble it preempts the requests to /chat/long in the middle of their
// stream.
type pausing struct {
	site *site
	name string
}

func (m *pausing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if misdirected(w, r, m.name) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	m.site.noteRun(r, m.name)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", "seal."+m.name+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := after + 1; n <= pauseEvents; n++ {
		gap := pauseGap
		if n == 6 && m.site.trouble && strings.HasPrefix(r.URL.Path, "/chat/long") {
			gap = preempted
			m.site.note("replica %s preempts %s after its event 5", m.name, id)
		}
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			m.site.note("replica %s drops %s after event %d: its channel was closed", m.name, id, n-1)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, pauseEvents)
		if rc.Flush() != nil {
			return
		}
	}
	m.site.note("replica %s has sent all of %s", m.name, id)
}

// playSilence has streams run while entry 0 gets SIGTERM. With trouble the replica preempts some of them.
func playSilence(s *site) (bool, error) {
	if _, err := s.serveReplica(80, &pausing{site: s, name: "i-model0"}); err != nil {
		return false, err
	}
	if err := s.register("i-model0", modelName, 80, 24, nil); err != nil {
		return false, err
	}
	if _, err := s.serveReplica(90, &desk{site: s, name: "i-desk0", work: 5 * time.Millisecond}); err != nil {
		return false, err
	}
	if err := s.register("i-desk0", deskName, 90, 6, nil); err != nil {
		return false, err
	}
	if err := s.configure(); err != nil {
		return false, err
	}
	if err := s.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	var clients sync.WaitGroup
	var mu sync.Mutex
	var cut, whole [2]int
	stop := make(chan struct{})
	for entry := range 2 {
		for n := range 3 { // Others go on all the while.
			clients.Go(func() {
				time.Sleep(time.Duration(n) * 500 * time.Millisecond)
				for {
					select {
					case <-stop:
						return
					default:
					}
					if _, _, err := s.streamEvents(entry, "/chat/short"); err != nil {
						return // The entry takes no more.
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	var long sync.WaitGroup
	for entry := range 2 {
		for range 5 {
			long.Go(func() {
				events, end, err := s.streamEvents(entry, "/chat/long")
				mu.Lock()
				defer mu.Unlock()
				if err == nil && end == nil && events == pauseEvents {
					whole[entry]++
				} else if err == nil {
					cut[entry]++
				}
			})
		}
	}
	time.Sleep(400 * time.Millisecond)
	s.note("SIGTERM to entry 0")
	if err := s.entries[0].Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	long.Wait()
	close(stop)
	clients.Wait()
	s.noteLog(0, `"event":"stream.`, "repeated")
	s.noteLog(1, "stream.broken")
	for entry := range 2 {
		s.note("entry %d: %d of the streams to /chat/long whole, %d cut", entry, whole[entry], cut[entry])
	}
	if cut[0]+whole[0] != 5 || cut[1]+whole[1] != 5 {
		return false, fmt.Errorf("not all streams were answered")
	}
	return cut[0] > 0 || cut[1] > 3, nil
}

// streamEvents sends a stream over a channel that has carried an answered request before. end is how the stream
// ended, nil if it was complete.
func (s *site) streamEvents(entry int, path string) (events int, end, err error) {
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	resp, err := client.Do(s.request(entry, http.MethodGet, "/look/a", newID(), 2*time.Second))
	if err != nil {
		return 0, nil, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }}
	id := newID()
	r := s.request(entry, http.MethodPost, path, id, 8*time.Second)
	r = r.WithContext(httptrace.WithClientTrace(context.Background(), trace))
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Counts", "700,25")
	s.note("client: sends %s of %s to entry %d", id, path, entry)
	if resp, err = client.Do(r); err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		s.note("client: %s of %s: status %d", id, path, resp.StatusCode)
		return 0, nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	events, end = readEvents(resp.Body)
	s.note("client: %s of %s: kept channel: %v; status 200, %d of %d events, end: %v", id, path, kept, events, pauseEvents, end)
	return events, end, nil
}
