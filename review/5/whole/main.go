// Command whole plays streams that a replica in trouble answers with a failure whose body has no
// end.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"siskinford-review/site"
)

const (
	service  = "assistant"
	hostName = "counter.example"
	requests = 80
	replicas = 2
	// Of the answers of one of the replicas, one in endlessShare is in trouble.
	endlessShare = 20
	line         = "the replica can't write this answer and says so again and again\n"
)

// replica answers with a short stream, or with a 500 whose body goes on until the caller closes.
type replica struct {
	id      string
	site    *site.Site
	answers atomic.Int64
	mu      sync.Mutex
	sent    map[string]int64 // bytes of the body of endless answers, by request
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("X-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Response-Seal", "seal."+p.id+"."+request)
	if n := p.answers.Add(1); site.Trouble() && p.id == "i-0" && n%endlessShare == 0 {
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusInternalServerError)
		text := strings.Repeat(line, 1000)
		var sent int64
		for {
			n, err := w.Write([]byte(text))
			sent += int64(n)
			p.mu.Lock()
			p.sent[request] = sent
			p.mu.Unlock()
			if err != nil {
				p.site.Record("server %s: 500 for %s, %d bytes of a body without end until its caller closed", p.id, request, sent)
				return
			}
		}
	}
	p.site.Record("server %s runs %s", p.id, request)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 8; n++ {
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, request)
		_ = http.NewResponseController(w).Flush()
	}
}

func main() { os.Exit(run()) }

func run() int {
	s, err := site.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return site.CantRun
	}
	defer s.Close()
	code, err := play(s)
	if err != nil {
		s.Record("cannot run: %v", err)
		fmt.Println(err)
		return site.CantRun
	}
	return code
}

func play(s *site.Site) (int, error) {
	var first *replica
	for i := range replicas {
		p := &replica{id: fmt.Sprintf("i-%d", i), site: s, sent: make(map[string]int64)}
		l, err := net.Listen("tcp", s.Rank(i, site.AppPort))
		if err != nil {
			return 0, err
		}
		go func() { _ = http.Serve(l, p) }()
		s.Register(p.id, service, s.Rank(i, site.AppPort), "ready", 12)
		if i == 0 {
			first = p
		}
	}
	s.Store.Put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "chat", "host": hostName, "pathPrefix": "/chat/", "kind": "streaming", "service": service, "timeoutMs": 8000,
			"targetLatencyMs": 500, "gapTargetMs": 120, "priority": 1, "maxAttempts": 2, "public": false, "resumable": false, "sessionAffinity": true,
		}},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/health", "maxConnections": 418, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 12, "kvCapacityTokens": 280000, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
				"read_per_s": 61400, "pairs_per_m": 0, "chunk": 512, "report_lag_ms": 200, "usual": map[string]any{"prompt": 835, "answer": 97},
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "shop", "apiKeys": []string{"key-1"}, "priority": 1}},
	})
	if _, err := s.StartEntry(0); err != nil {
		return 0, err
	}
	if err := s.AwaitReady(0); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // stableWindowMs, and a second.
	var (
		c   *site.Channel
		err error
	)
	mixed, served := 0, 0
	for i := range requests {
		if c == nil {
			if c, err = site.Open(s.Entry(0, site.FrontPort)); err != nil {
				return 0, err
			}
		}
		request := fmt.Sprintf("r-%d", i)
		a := c.Send("POST", "/chat/1", hostName, map[string]string{
			"X-Request-Id": request, "X-Deadline-Ms": "8000", "X-Credential": "key-1", "X-Model": "m",
			"X-Token-Counts": "674,96", "X-Prompt-Prefix": fmt.Sprintf("%x:674", 1000+i),
		}, "prompt", 8*time.Second)
		s.Record("client sent %s and got %v", request, a)
		first.mu.Lock()
		sent, endless := first.sent[request]
		first.mu.Unlock()
		switch {
		case a.Err != nil:
			_ = c.Close()
			c = nil
		case a.Status == http.StatusOK:
			served++
		case endless && a.Header.Get("X-Response-Seal") != "":
			mixed++
			s.Record("MIXED: %s got %d with the replica's seal %q and a body that looks complete: %d bytes, Content-Length %q; the replica's body had no end (%d bytes written)",
				request, a.Status, a.Header.Get("X-Response-Seal"), len(a.Body), a.Header.Get("Content-Length"), sent)
		}
	}
	s.Record("MIXED: %d answers that ended early look complete (one breaks the rule); %d streams served", mixed, served)
	switch {
	case mixed > 0:
		return site.Broken, nil
	case served < requests/2:
		return 0, fmt.Errorf("only %d streams were served", served)
	}
	return site.Held, nil
}
