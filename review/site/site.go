// Package site runs a small installation for the cases of the review: the platform's store and
// the settings files, and the project's programs as separate processes on loopback addresses.
package site

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// The ports of an installation. Each machine has a loopback address of its own.
const (
	FrontPort, ReadyPort, ControlPort = 8227, 8220, 8229
	StorePort, AppPort, InternalPort  = 8223, 8228, 7340
	metricsPort                       = 9464
)

// Last octets of the first machine of each kind.
const (
	firstEntry, firstRank, firstPlain, storeHost = 10, 80, 160, 200
)

// Site is an installation.
type Site struct {
	Store  *Store
	prefix string
	root   string
	dir    string
	// Bounds are added to those of the settings files.
	Bounds map[string]any

	mu        sync.Mutex
	record    io.Writer
	began     time.Time
	processes []*exec.Cmd
}

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// New starts the store. The record is written to a file.
func New(recordPath string) (*Site, error) {
	runtime.LockOSThread() // The processes end with the thread that starts them.
	root := os.Getenv("REVIEW_ROOT")
	dir, err := os.MkdirTemp("", "siskinford-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &Site{Store: newStore(), root: root, dir: dir, record: record, began: time.Now(), Bounds: map[string]any{}}
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", s.prefix, storeHost, StorePort))
		if err != nil {
			continue
		}
		if !s.free() {
			_ = l.Close()
			continue
		}
		go func() { _ = (&http.Server{Handler: s.Store}).Serve(l) }()
		return s, nil
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// free reports whether the ports of the first machines are free.
func (s *Site) free() bool {
	for _, a := range []string{
		s.Entry(0, FrontPort), s.Entry(0, ReadyPort), s.Entry(0, ControlPort), s.Entry(0, metricsPort),
		s.Rank(0, AppPort), s.Rank(0, InternalPort), s.Rank(1, AppPort), s.Plain(0, AppPort),
	} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Entry, Rank and Plain return an address of the machine of an entry, a model replica or a
// replica of the plain service.
func (s *Site) Entry(i, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.prefix, firstEntry+i, port)
}

func (s *Site) Rank(i, port int) string { return fmt.Sprintf("%s.%d:%d", s.prefix, firstRank+i, port) }

func (s *Site) Plain(i, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.prefix, firstPlain+i, port)
}

// Record writes a line to the record.
func (s *Site) Record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// Register writes the entry of a replica in the store's list of servers.
func (s *Site) Register(id, service, address, state string, slots int) {
	s.Store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": slots, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

func (s *Site) settings(node, class, host string, more map[string]any) (string, error) {
	bounds := map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
		"lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": false, "revokeMs": 5000,
		"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtraRetries": 92, "recoverS": 12, "passMs": 120, "retryAfterS": 0,
		"stall_ms": 1500, "requireFence": false,
	}
	for k, v := range s.Bounds {
		bounds[k] = v
	}
	v := map[string]any{
		"node": node, "role": class, "machineClass": class, "ip": host, "zone": "zone-a", "region": "region",
		"zones": map[string]string{"zone-a": "region"}, "listen": map[string]any{}, "internalPorts": []int{InternalPort, InternalPort + 15},
		"seeds": []string{s.Entry(0, ControlPort)}, "bootstrap": true, "countsTowardLoss": false,
		"limits":  map[string]any{"cpuShare": 0.608, "cores": 1, "memoryMb": 414, "maxFds": 6150, "linkMbps": 1500.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1200, "bounds": bounds,
		"provider": map[string]any{
			"address": fmt.Sprintf("%s.%d:%d", s.prefix, storeHost, StorePort), "form": "objects", "writesPerS": 400, "readsPerS": 2000,
			"historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
	for k, x := range more {
		v[k] = x
	}
	data, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, node+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// StartEntry starts an entry with the command of the deploy file.
func (s *Site) StartEntry(i int) (*exec.Cmd, error) {
	path, err := s.settings(fmt.Sprintf("entry-%d", i), "edge", fmt.Sprintf("%s.%d", s.prefix, firstEntry+i), map[string]any{
		"serves": []string{"edge", "control_plane"},
		"listen": map[string]any{"front": s.Entry(i, FrontPort), "ready": s.Entry(i, ReadyPort), "control": s.Entry(i, ControlPort)},
	})
	if err != nil {
		return nil, err
	}
	return s.start(fmt.Sprintf("entry-%d", i), path, "target/siskinford-platform", "entry", "--metrics-port", fmt.Sprint(metricsPort))
}

// StartRelay starts the relay beside a rank with the command of the deploy file.
func (s *Site) StartRelay(i int) (*exec.Cmd, error) {
	path, err := s.settings(fmt.Sprintf("side-%d", i), "side", fmt.Sprintf("%s.%d", s.prefix, firstRank+i), map[string]any{
		"serves": []string{}, "app": s.Rank(i, AppPort),
	})
	if err != nil {
		return nil, err
	}
	return s.start(fmt.Sprintf("relay-%d", i), path, "target/siskinford-relay")
}

func (s *Site) start(name, settings, program string, args ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	c := exec.Command(filepath.Join(s.root, program), args...)
	c.Dir, c.Stdout, c.Stderr = s.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SISKINFORD_SETTINGS=" + settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, c)
	s.mu.Unlock()
	s.Record("%s started: %s %v", name, program, args)
	return c, nil
}

// Log returns what a process has written.
func (s *Site) Log(name string) string {
	b, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
	return string(b)
}

// AwaitReady waits until an entry's readiness check answers 200 for a while.
func (s *Site) AwaitReady(i int) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + s.Entry(i, ReadyPort) + "/v1/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %d is not ready", i)
}

// Close ends all processes.
func (s *Site) Close() {
	s.mu.Lock()
	list := s.processes
	s.mu.Unlock()
	for _, c := range list {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}
