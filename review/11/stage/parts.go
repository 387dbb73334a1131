package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// sharedParts is the number of shared parts of a prompt, deadlyPart the place of the one that crashes replicas.
	sharedParts, deadlyPart = 160, 150
	// partTokens is the size of a part, that of a block of the site's engine.
	partTokens = 16
	// partsReplicas is the number of replicas, partsDown how long one that crashed is away.
	partsReplicas = 8
	partsDown     = 2 * time.Second
	// calmTime is the time without a deadly part, harmTime the time with it.
	calmTime, harmTime = 10 * time.Second, 22 * time.Second
	// soundEvery and deadlyEvery are the times between requests, over both entries.
	soundEvery, deadlyEvery = 70 * time.Millisecond, 1400 * time.Millisecond
	// stableWindow is stableWindowMs.
	stableWindow = 3 * time.Second
	partsEvents  = 10
)

// fragile is a replica of the model that crashes when it begins to write an answer on the deadly part.
type fragile struct {
	site *site
	host int
	name string
	play *partsPlay
}

// partsPlay is what happens in a play.
type partsPlay struct {
	site *site
	// names are the shared parts, deadly the one in place of one of them.
	names  []string
	deadly string

	mu      sync.Mutex
	crashes []time.Duration
	// arrived holds when requests with the deadly part reached replicas.
	arrived []time.Duration
	sound   []soundRequest
	servers map[string]*http.Server
}

// soundRequest is a request without the deadly part.
type soundRequest struct {
	sent  time.Duration
	begun bool
	end   string
}

func (f *fragile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if misdirected(w, r, f.name) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	f.site.noteRun(r, f.name)
	deadly := strings.Contains(r.Header.Get("X-Prompt-Prefix"), f.play.deadly+":")
	if deadly {
		f.play.note(&f.play.arrived)
	}
	select {
	case <-time.After(60 * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	if deadly {
		f.crash(id)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", "seal."+f.name+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := after + 1; n <= partsEvents; n++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, partsEvents)
		if rc.Flush() != nil {
			return
		}
		select {
		case <-time.After(40 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

// crash ends the replica like its process: its address has no listener, and its channels are closed. It starts again
// under its id.
func (f *fragile) crash(id string) {
	f.play.mu.Lock()
	server := f.play.servers[f.name]
	f.play.servers[f.name] = nil
	f.play.mu.Unlock()
	if server == nil {
		return
	}
	f.play.note(&f.play.crashes)
	f.site.note("CRASH: replica %s begins to write an answer to %s and crashes", f.name, id)
	_ = server.Close()
	time.AfterFunc(partsDown, func() {
		if err := f.start(); err != nil {
			f.site.note("replica %s does not start: %v", f.name, err)
		}
	})
}

func (f *fragile) start() error {
	server, err := f.site.serveReplica(f.host, f)
	if err != nil {
		return err
	}
	f.play.mu.Lock()
	f.play.servers[f.name] = server
	f.play.mu.Unlock()
	return f.site.register(f.name, modelName, f.host, 12, map[string]any{"born": time.Now().UnixMilli()})
}

func (p *partsPlay) note(list *[]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*list = append(*list, time.Since(p.site.began))
}

// playParts sends streams whose prompts share 160 parts. With trouble, one request in 20 has another part at the
// place deadlyPart, which crashes replicas.
func playParts(s *site) (bool, error) {
	p := &partsPlay{site: s, servers: make(map[string]*http.Server), deadly: newPart()}
	for range sharedParts {
		p.names = append(p.names, newPart())
	}
	for i := range partsReplicas {
		if err := (&fragile{site: s, host: 80 + i, name: fmt.Sprintf("i-model%d", i), play: p}).start(); err != nil {
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
	s.note("shared parts %v, deadly part %s", p.names[:3], p.deadly)
	start := time.Since(s.began)
	ctx, cancel := context.WithTimeout(context.Background(), calmTime+harmTime)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() {
		tick := time.NewTicker(soundEvery)
		defer tick.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			<-tick.C
			all.Go(func() { p.send(n%2, false) })
		}
	})
	if s.trouble {
		all.Go(func() {
			time.Sleep(calmTime)
			s.note("from now on requests with the deadly part come")
			for n := 0; ctx.Err() == nil; n++ {
				all.Go(func() { p.send(n%2, true) })
				time.Sleep(deadlyEvery)
			}
		})
	}
	all.Wait()
	return p.judge(start)
}

func newPart() string { return fmt.Sprintf("%08x", rand.Uint32()|1<<31) }

// send sends a stream on a channel of its own.
func (p *partsPlay) send(entry int, deadly bool) {
	id := newID()
	names := append([]string(nil), p.names...)
	if deadly {
		names[deadlyPart-1] = p.deadly
	}
	names = append(names, newPart()) // The last one belongs to the request.
	for i := range names {
		names[i] += fmt.Sprintf(":%d", partTokens)
	}
	r := p.site.request(entry, http.MethodPost, "/chat/say", id, 8*time.Second)
	r.Close = true
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", len(names)*partTokens, partsEvents))
	r.Header.Set("X-Prompt-Prefix", strings.Join(names, ","))
	sent := time.Since(p.site.began)
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Do(r)
	status, events, end := 0, 0, err
	if err == nil {
		status = resp.StatusCode
		events, end = readEvents(resp.Body)
		_ = resp.Body.Close()
	}
	kind := "sound"
	if deadly {
		kind = "deadly"
	}
	p.site.note("client: %s request %s, sent to entry %d at %.3f: status %d, %d of %d events, end: %v", kind, id, entry, sent.Seconds(), status, events, partsEvents, end)
	if !deadly {
		what := "whole"
		switch {
		case status == http.StatusOK && (end != nil || events < partsEvents):
			what = "cut"
		case status != http.StatusOK:
			what = fmt.Sprint("status ", status)
		}
		p.mu.Lock()
		p.sound = append(p.sound, soundRequest{sent: sent, begun: status == http.StatusOK && events > 0, end: what})
		p.mu.Unlock()
	}
}

// judge applies the two rules on parts that crash replicas.
func (p *partsPlay) judge(start time.Duration) (bool, error) {
	s := p.site
	p.mu.Lock()
	defer p.mu.Unlock()
	harm := start + calmTime
	s.note("%d crashes", len(p.crashes))
	if len(p.sound) < 100 {
		return false, errors.New("too few sound requests")
	}
	if len(p.crashes) == 0 {
		ends := make(map[string]int)
		for _, r := range p.sound {
			ends[r.end]++
		}
		s.note("sound requests: %v", ends)
		return false, nil
	}
	last := p.crashes[min(len(p.crashes), 5)-1]
	late := 0
	if len(p.crashes) >= 5 {
		for _, at := range p.arrived {
			if at > last+stableWindow {
				late++
			}
		}
	}
	s.note("BUDGET: %d requests with the deadly part reached replicas later than %v after the fifth crash, which was at %.3f s; 3 are allowed", late, stableWindow, last.Seconds())
	var sent, begun [2]int
	ends := make(map[string]int)
	for _, r := range p.sound {
		i := -1
		switch {
		case r.sent < harm:
			i = 0
		case r.sent > last+2*stableWindow:
			i = 1
			ends[r.end]++
		}
		if i >= 0 {
			sent[i]++
			if r.begun {
				begun[i]++
			}
		}
	}
	s.note("LOST: sound requests begun in calm: %d of %d; from %v after that crash on: %d of %d (%v)", begun[0], sent[0], 2*stableWindow, begun[1], sent[1], ends)
	fewer := sent[0] >= 20 && sent[1] >= 20 && 2*begun[1]*sent[0] < begun[0]*sent[1]
	return late > 3 || fewer, nil
}
