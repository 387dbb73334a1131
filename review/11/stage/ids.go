package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// eventsPerStream and tokensPerEvent are those of the model replica.
const (
	eventsPerStream = 12
	tokensPerEvent  = 4
)

// model is a replica of the model. Its events have the ids step, 2 × step and so on.
type model struct {
	site *site
	name string
	step int
}

func (m *model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	for n := 1; n <= eventsPerStream; n++ {
		if n*m.step <= after {
			continue
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			m.site.note("replica %s drops %s: its channel was closed", m.name, id)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %d, %d tokens\n\n", n*m.step, n, eventsPerStream, tokensPerEvent)
		if rc.Flush() != nil {
			return
		}
	}
	m.site.note("replica %s has sent all of %s", m.name, id)
}

// playIDs sends streams over kept channels to replicas whose event ids increase by one, and with trouble by the
// number of tokens in an event. With trouble, entry 0 gets a SIGHUP before its streams.
func playIDs(s *site) (bool, error) {
	step := 1
	if s.trouble {
		step = tokensPerEvent
	}
	for i := range 2 {
		name := fmt.Sprintf("i-model%d", i)
		if _, err := s.serveReplica(80+i, &model{site: s, name: name, step: step}); err != nil {
			return false, err
		}
		if err := s.register(name, modelName, 80+i, 12, nil); err != nil {
			return false, err
		}
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
	time.Sleep(4 * time.Second) // Machines are in touch after stableWindowMs.
	if s.trouble {
		s.note("SIGHUP to entry 0")
		if err := s.entries[0].Process.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	var lost, whole [2]int
	for entry := range 2 {
		for range 8 { // Those of entry 0 are sent within 2 s (configMs) after the SIGHUP.
			ok, err := s.stream(entry)
			if err != nil {
				return false, err
			}
			if ok {
				whole[entry]++
			} else {
				lost[entry]++
			}
		}
	}
	s.noteLog(0, "broken")
	s.noteLog(1, "broken")
	s.note("entry 0, after SIGHUP in a run with trouble: %d streams whole, %d cut", whole[0], lost[0])
	s.note("entry 1: %d streams whole, %d cut", whole[1], lost[1])
	return s.trouble && lost[0] > 0 || lost[0]+lost[1] > 3, nil
}

// stream sends a stream over a channel that has carried an answered request before, and reports whether the
// client got all of it.
func (s *site) stream(entry int) (whole bool, err error) {
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	resp, err := client.Do(s.request(entry, http.MethodGet, "/look/a", newID(), 2*time.Second))
	if err != nil {
		return false, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("the first request of a channel has status %d", resp.StatusCode)
	}
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }}
	id := newID()
	r := s.request(entry, http.MethodPost, "/chat/say", id, 8*time.Second)
	r = r.WithContext(httptrace.WithClientTrace(context.Background(), trace))
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Counts", "700,48")
	s.note("client: sends stream %s to entry %d", id, entry)
	resp, err = client.Do(r)
	if err != nil {
		s.note("client: %s: kept channel: %v; no answer: %v", id, kept, err)
		return false, nil
	}
	events, err := readEvents(resp.Body)
	_ = resp.Body.Close()
	s.note("client: %s: kept channel: %v; status %d, %d of %d events, end: %v", id, kept, resp.StatusCode, events, eventsPerStream, err)
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("a stream has status %d", resp.StatusCode)
	}
	return err == nil && events == eventsPerStream, nil
}

func readEvents(body io.Reader) (events int, err error) {
	br := bufio.NewReader(body)
	for {
		line, err := br.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			events++
		}
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
	}
}
