package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/siskinford/siskinford/lab/faults"
)

// The times of the drill, from the removal of the leaving replica's entry.
const (
	drainMs = 2 * time.Second
	// copyBefore is the age of the copy at the removal; the entry's last change lies between.
	copyBefore   = 1500 * time.Millisecond
	changeBefore = time.Second
	// The store is away from awayAt to returnAt, and the others write theirs again rewriteAfter later.
	awayAt       = 3200 * time.Millisecond
	returnAt     = 3500 * time.Millisecond
	rewriteAfter = 1500 * time.Millisecond
	// exitAt is when the leaving replica's process ends.
	exitAt = 4100 * time.Millisecond
)

// playDrill has a replica leave whose entry is removed, and with trouble the store return from a copy some seconds
// old a little later.
func playDrill(s *site) (bool, error) {
	const work = 300 * time.Millisecond
	var servers []*http.Server
	var desks []*desk
	for i := range 3 {
		d := &desk{site: s, name: fmt.Sprintf("i-desk%d", i), work: work}
		server, err := s.serveReplica(90+i, d)
		if err != nil {
			return false, err
		}
		more := map[string]any{}
		if i == 2 {
			more["coldRemainingMs"] = 3000
		}
		if err := s.register(d.name, deskName, 90+i, 6, more); err != nil {
			return false, err
		}
		servers, desks = append(servers, server), append(desks, d)
	}
	if err := s.configure(); err != nil {
		return false, err
	}
	if err := s.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	w := &watcher{site: s, passed: make(map[int]time.Time), sent: make(map[string]sending)}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for entry := range 2 {
		clients.Go(func() { w.send(entry, stop) })
	}
	time.Sleep(1500 * time.Millisecond)
	copied := s.store.Copy()
	s.note("store: a copy is taken")
	time.Sleep(copyBefore - changeBefore)
	if err := s.register(desks[2].name, deskName, 92, 6, map[string]any{"coldRemainingMs": 0, "sequence": 7}); err != nil {
		return false, err
	}
	time.Sleep(changeBefore)

	removed := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(removed.Add(d))) }
	s.note("%s leaves: its entry is removed, and its answers say Server-Leaving", desks[2].name)
	desks[2].setLeaving()
	s.store.Remove("servers", desks[2].name)
	at(awayAt)
	if s.trouble {
		s.note("store: away")
		s.store.SetTrouble(func(string) faults.PlatformFaults { return faults.PlatformFaults{Busy: true} })
	}
	at(returnAt)
	if s.trouble {
		s.store.RestoreExternal(copied, []string{"config", "servers"}, rewriteAfter)
		s.store.SetTrouble(nil)
		s.note("store: back from the copy; the operator and the replicas write theirs again in %v", rewriteAfter)
	}
	at(exitAt)
	s.note("%s: its process ends", desks[2].name)
	_ = servers[2].Close()
	time.Sleep(2500 * time.Millisecond)
	close(stop)
	clients.Wait()
	for entry := range 2 {
		s.noteLog(entry, "endpoints.applied", "endpoints.held", "endpoint.leaving", "store.restored")
	}
	return w.judge(desks[2].name)
}

// sending is a request that a client sent.
type sending struct {
	entry int
	at    time.Time
	// status is zero if there was no answer.
	status int
}

// watcher sends requests and notes what the clients see.
type watcher struct {
	site *site

	mu sync.Mutex
	// passed is when each entry first passed on an answer with Server-Leaving.
	passed map[int]time.Time
	sent   map[string]sending
}

// send sends non-idempotent requests to an entry until stop is closed.
func (w *watcher) send(entry int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		running.Go(func() { w.sendOne(client, entry) })
	}
}

func (w *watcher) sendOne(client *http.Client, entry int) {
	id := newID()
	w.mu.Lock()
	w.sent[id] = sending{entry: entry, at: time.Now()}
	w.mu.Unlock()
	resp, err := client.Do(w.site.request(entry, http.MethodPost, "/reserve/chest", id, 2*time.Second))
	if err != nil {
		w.site.note("client: %s at entry %d: no answer: %v", id, entry, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	leaving := resp.Header.Get("Server-Leaving") == "1"
	w.site.note("client: %s at entry %d: status %d, Server-Leaving: %v, %.60q", id, entry, resp.StatusCode, leaving, body)
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.sent[id]
	x.status = resp.StatusCode
	w.sent[id] = x
	if _, ok := w.passed[entry]; !ok && leaving {
		w.passed[entry] = time.Now()
	}
}

// judge reports whether a request that a client sent later than drainMs after an entry had passed on an answer with
// Server-Leaving reached that replica from that entry.
func (w *watcher) judge(replica string) (bool, error) {
	s := w.site
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.passed) == 0 {
		return false, fmt.Errorf("no answer with Server-Leaving was passed on")
	}
	late, unanswered := 0, 0
	s.mu.Lock()
	runs := s.runs
	s.mu.Unlock()
	for _, r := range runs {
		x, ok := w.sent[r.request]
		passed, said := w.passed[x.entry]
		if r.replica != replica || !ok || !said || x.at.Before(passed.Add(drainMs)) {
			continue
		}
		late++
		if x.status != http.StatusOK {
			unanswered++
		}
		s.note("LATE: %s, sent %.3f s after entry %d had passed on Server-Leaving of %s, was run by it; the client got status %d",
			r.request, x.at.Sub(passed).Seconds(), x.entry, replica, x.status)
	}
	s.note("%d requests reached the leaving replica too late, %d of them have no answer of it", late, unanswered)
	return late > 0, nil
}
