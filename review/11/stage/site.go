package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/siskinford/siskinford/platform/standin"
)

// The names of the deployment.
const (
	hostName  = "shop.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"
	deskName  = "desk"
	modelName = "model"
)

// site is a small deployment: a store, entries and replicas, each at a loopback address of its own.
type site struct {
	trouble bool
	prefix  string
	// memoryMb is the memory of an entry.
	memoryMb int
	port     int
	dir      string
	store    *standin.Store
	began    time.Time
	entries  []*exec.Cmd

	mu     sync.Mutex // guards record
	record *bufio.Writer
	file   *os.File
	runs   []runRecord
}

// runRecord is a request that a replica began to work on.
type runRecord struct {
	request, replica string
	at               time.Time
}

func newSite(record string, trouble bool) (*site, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{trouble: trouble, dir: dir, store: standin.NewStore(), began: time.Now(), memoryMb: 544, file: file, record: bufio.NewWriter(file)}
	s.store.Restore(s.store.Copy()) // From now on all answers have a Store-Era.
	for range 20 {
		s.prefix, s.port = fmt.Sprintf("127.%d.%d", 60+rand.IntN(60), 1+rand.IntN(250)), 20000+rand.IntN(8000)
		l, err := net.Listen("tcp", s.address(200, 3))
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(l, s.store.HandlerFor("entries")) }()
		s.note("trouble: %v; addresses: %s.0/24", trouble, s.prefix)
		return s, nil
	}
	return nil, fmt.Errorf("no free port")
}

// address returns the address of a use of a host: 0 clients, 1 readiness, 2 control, 3 the store, 4 a replica,
// 10 to 25 between the project's processes.
func (s *site) address(host, use int) string {
	return fmt.Sprintf("%s.%d:%d", s.prefix, host, s.port+use)
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// noteRun records that a replica began to work on a request.
func (s *site) noteRun(r *http.Request, replica string) {
	now, id := time.Now(), r.Header.Get("X-Request-Id")
	s.note("replica %s runs %s", replica, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, runRecord{id, replica, now})
}

func (s *site) close() {
	for _, e := range s.entries {
		_ = e.Process.Kill()
		_ = e.Wait()
	}
	s.mu.Lock()
	_ = s.record.Flush()
	_ = s.file.Close()
	s.mu.Unlock()
	_ = os.RemoveAll(s.dir)
}

// startEntries starts entries with the command of the deploy file, and waits until they are ready.
func (s *site) startEntries(n int) error {
	seeds := []string{}
	for i := range n {
		seeds = append(seeds, s.address(10+i, 2))
	}
	for i := range n {
		zone := fmt.Sprintf("zone-%c", 'a'+i)
		settings := map[string]any{
			"node": fmt.Sprintf("edge-%s-1", zone), "role": "entry", "machineClass": "edge", "serves": []string{"edge", "control_plane"},
			"ip": fmt.Sprintf("%s.%d", s.prefix, 10+i), "zone": zone, "region": "region",
			"zones":         map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"},
			"listen":        map[string]string{"front": s.address(10+i, 0), "ready": s.address(10+i, 1), "control": s.address(10+i, 2)},
			"internalPorts": []int{s.port + 10, s.port + 25}, "seeds": seeds, "bootstrap": true, "countsTowardLoss": false,
			"limits":  map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": s.memoryMb, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1200,
			"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
			"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
				"lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": false, "revokeMs": 5000,
				"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtraRetries": 88, "recoverS": 12, "passMs": 120, "retryAfterS": 0,
				"stall_ms": 1500, "requireFence": false,
			},
			"provider": map[string]any{
				"address": s.address(200, 3), "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
			},
		}
		data, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		path := filepath.Join(s.dir, fmt.Sprintf("settings-%d.json", i))
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(s.dir, fmt.Sprintf("entry-%d.log", i)))
		if err != nil {
			return err
		}
		c := exec.Command("target/siskinford-platform", "entry", "--metrics-port", "9464")
		c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true", "SISKINFORD_SETTINGS=" + path}
		c.Stdout, c.Stderr = log, log
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := c.Start(); err != nil {
			return err
		}
		s.entries = append(s.entries, c)
	}
	for i := range n {
		if err := s.awaitReady(i); err != nil {
			return err
		}
	}
	s.note("%d entries are ready", n)
	return nil
}

func (s *site) awaitReady(entry int) error {
	for range 150 {
		resp, err := http.Get("http://" + s.address(10+entry, 1) + "/v1/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	log, _ := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("entry-%d.log", entry)))
	return fmt.Errorf("entry %d does not get ready: %s", entry, bytes.TrimSpace(log))
}

// noteLog copies the lines of an entry's log that contain one of the words to the record.
func (s *site) noteLog(entry int, words ...string) {
	data, _ := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("entry-%d.log", entry)))
	for line := range bytes.Lines(data) {
		for _, w := range words {
			if bytes.Contains(line, []byte(w)) {
				s.note("log of entry %d: %s", entry, bytes.TrimSpace(line))
				break
			}
		}
	}
}

// configure writes the configuration.
func (s *site) configure() error {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 8000,
			"targetLatencyMs": 500, "priority": 1, "maxAttempts": 2, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return s.store.Write("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			route("r-chat", "/chat/", "streaming", modelName, map[string]any{"resumable": true, "gapTargetMs": 120, "sessionAffinity": true}),
			route("r-reserve", "/reserve/", "non_idempotent", deskName, nil),
			route("r-look", "/look/", "idempotent", deskName, nil),
		},
		"services": []any{
			map[string]any{"name": modelName, "healthPath": "/health", "maxConnections": 178, "protocol": "h1", "tls": false},
			map[string]any{"name": deskName, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// register writes the entry of a replica, as in its status reports.
func (s *site) register(name, service string, host, slots int, more map[string]any) error {
	spec := map[string]any{
		"service": service, "address": s.address(host, 4), "zone": "zone-a", "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "stage": "unified", "models": []any{}, "sequence": 4, "born": s.began.UnixMilli(),
	}
	for k, v := range more {
		spec[k] = v
	}
	s.note("store: %s writes its entry: %v", name, more)
	return s.store.Write("servers", name, spec)
}

// serveReplica starts a replica. Close ends it like the end of its process.
func (s *site) serveReplica(host int, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", s.address(host, 4))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return server, nil
}

// misdirected answers 421 if the request is for another instance.
func misdirected(w http.ResponseWriter, r *http.Request, name string) bool {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != name {
		w.Header().Set("X-Instance-Id", name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	return false
}

// desk is a replica of the plain service.
type desk struct {
	site *site
	name string
	work time.Duration

	mu      sync.Mutex
	leaving bool
}

func (d *desk) setLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mark := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.leaving {
			w.Header().Set("Server-Leaving", "1")
		}
	}
	if misdirected(w, r, d.name) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	d.site.noteRun(r, d.name)
	select {
	case <-time.After(d.work):
	case <-r.Context().Done():
		d.site.note("replica %s drops %s: its channel was closed", d.name, id)
		return
	}
	mark()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", "seal."+d.name+"."+id)
	fmt.Fprintf(w, "%s did %s\n", d.name, id)
}

// request returns a client's request.
func (s *site) request(entry int, method, path, id string, deadline time.Duration) *http.Request {
	r, err := http.NewRequest(method, "http://"+s.address(10+entry, 0)+path, bytes.NewReader([]byte("{}")))
	if err != nil {
		panic(err)
	}
	r.Host = hostName
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Credential", apiKey)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	return r
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
