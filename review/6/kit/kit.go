// Package kit starts the project's programs against its stand-ins for the cases of this review.
package kit

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/siskinford/siskinford/lab/procs"
	"github.com/siskinford/siskinford/lab/replicas"
	"github.com/siskinford/siskinford/platform/standin"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Options describe an installation. Zero values select a small one.
type Options struct {
	Entries, Zones, Ranks, Plain int
	// EventsPerStream is the number of events of a stream.
	EventsPerStream int
	// Group changes the configuration of the group of ranks. It may be nil.
	Group func(*replicas.GroupConfig)
	// DeskSlots and DeskTime are the slots and the time of a request at a plain replica. Default: 6 and 5 ms.
	DeskSlots int
	DeskTime  time.Duration
	// Begun is called before anything is started. It may be nil.
	Begun func(*Kit)
	// Rank wraps the handler of a rank's replica. It may be nil.
	Rank func(rank int, h http.Handler) http.Handler
	// Entry changes the settings of an entry. It may be nil.
	Entry func(i int, settings map[string]any)
}

// Kit is a running installation with its record.
type Kit struct {
	Site    *standin.Site
	Entries []*procs.Process
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	Dir     string
	// DeskAddress is the address of the first plain replica.
	DeskAddress string

	opt    Options
	relays []*procs.Process
	begun  time.Time
	prefix string
	ports  []int

	mu     sync.Mutex
	record io.Writer
	sent   int
}

// Main runs a case. It writes record.txt into the folder named by the first argument, and exits
// with Broken if run reports that the rule was broken.
func Main(o Options, run func(ctx context.Context, k *Kit) (broken bool, err error)) {
	os.Exit(execute(o, run))
}

// limit is the time that a case may take, with a margin below 120 s.
const limit = 115 * time.Second

func execute(o Options, run func(ctx context.Context, k *Kit) (bool, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		return Failed
	}
	f, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	defer func() { _ = f.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	k := &Kit{opt: o.withDefaults(), Trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), record: f}
	defer k.close()
	if o.Begun != nil {
		o.Begun(k)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		k.close()
		os.Exit(Failed)
	}()
	if err := k.start(ctx); err != nil {
		k.Log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	broken, err := run(ctx, k)
	switch {
	case err != nil:
		k.Log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return Failed
	case broken:
		k.Log("result: the rule was broken")
		fmt.Println("broken")
		return Broken
	}
	k.Log("result: the rule held")
	fmt.Println("held")
	return Held
}

func (o Options) withDefaults() Options {
	set := func(p *int, n int) {
		if *p == 0 {
			*p = n
		}
	}
	set(&o.Entries, 4)
	set(&o.Zones, 3)
	set(&o.Ranks, 2)
	set(&o.Plain, 3)
	set(&o.EventsPerStream, 12)
	return o
}

// Log writes a line with the time since the start to the record.
func (k *Kit) Log(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fmt.Fprintf(k.record, "%9.3f s  %s\n", time.Since(k.begun).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as seconds since the start.
func (k *Kit) At(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(k.begun).Seconds()) }

func (k *Kit) start(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	k.Dir = dir
	prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	ports, err := freePorts(prefix+".10", 6)
	if err != nil {
		return err
	}
	group := replicas.GroupConfig{
		Name: "group-0", Slots: 12, MaxWaiting: 24, LayerSets: 1, ExpertsPerSet: 4, MaxPerRank: 4, MaxNewPerMap: 1,
		StepTime: 20 * time.Millisecond, CopyTime: 50 * time.Millisecond, FormTime: 600 * time.Millisecond, StallTimeout: 1500 * time.Millisecond, Seed: 1,
	}
	if k.opt.Group != nil {
		k.opt.Group(&group)
	}
	k.DeskAddress = fmt.Sprintf("%s.160:%d", prefix, ports[4])
	k.prefix, k.ports = prefix, ports
	k.Site, err = standin.NewSite(standin.SiteConfig{
		IPPrefix: prefix, Zones: k.opt.Zones, Entries: k.opt.Entries, Ranks: k.opt.Ranks, PlainReplicas: k.opt.Plain, Group: group,
		EventsPerStream: k.opt.EventsPerStream, Dir: dir, ExtraRetries: 92,
		ClientPort: ports[0], ReadyPort: ports[1], ControlPort: ports[2], InternalPort: ports[3], AppPort: ports[4], StorePort: ports[5],
	})
	if err != nil {
		return err
	}
	for i, p := range k.Site.PlainReplicas {
		if k.opt.DeskSlots > 0 {
			p.Slots, p.ServiceTime = k.opt.DeskSlots, k.opt.DeskTime
		}
		if err := k.Site.RegisterPlainReplica(i, "ready"); err != nil {
			return err
		}
	}
	for i := range k.opt.Ranks {
		path, err := k.Site.RelaySettings(i)
		if err != nil {
			return err
		}
		if k.opt.Rank != nil {
			if err := k.wrapRank(i, path, group.Slots); err != nil {
				return err
			}
		}
		p, err := procs.Start(fmt.Sprintf("relay-%d", i), "target/siskinford-relay", nil, environment(path))
		if err != nil {
			return err
		}
		k.relays = append(k.relays, p)
	}
	k.Entries = make([]*procs.Process, k.opt.Entries)
	for i := range k.opt.Entries {
		if err := k.StartEntry(i); err != nil {
			return err
		}
	}
	for i := range k.opt.Entries {
		if err := k.AwaitReady(ctx, i); err != nil {
			return err
		}
	}
	k.Log("%d entries, %d relays, %d ranks, %d plain replicas are ready", k.opt.Entries, k.opt.Ranks, k.opt.Ranks, k.opt.Plain)
	return nil
}

// wrapRank puts the wrapped handler of a rank's replica at another port of its host, in its entry and in the settings of its relay.
func (k *Kit) wrapRank(rank int, settings string, slots int) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", k.prefix, 80+rank))
	if err != nil {
		return err
	}
	h := k.opt.Rank(rank, k.Site.ModelReplicas[rank])
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }() // Ends with the program.
	err = k.Site.Store.Write("servers", k.Site.RankName(rank), map[string]any{
		"service": standin.ServiceModel, "address": l.Addr().String(), "zone": fmt.Sprintf("zone-%c", 'a'+(80+rank)%k.opt.Zones),
		"version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
	})
	if err != nil {
		return err
	}
	data, err := os.ReadFile(settings)
	if err != nil {
		return err
	}
	var s map[string]any
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	s["app"] = l.Addr().String()
	if data, err = json.Marshal(s); err != nil {
		return err
	}
	return os.WriteFile(settings, data, 0o600)
}

// freePorts returns ports of an address at which nothing listens. The fourth has fifteen more after it.
func freePorts(ip string, n int) ([]int, error) {
	var out []int
	for len(out) < n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if port > 60000 {
			continue
		}
		clash := false
		for _, other := range out {
			clash = clash || port-other < 20 && other-port < 20
		}
		if !clash {
			out = append(out, port)
		}
	}
	return out, nil
}

func environment(path string) []string {
	return []string{"SISKINFORD_SETTINGS=" + path, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
}

// StartEntry starts an entry with the command of the deploy file and settings like those of a small installation.
func (k *Kit) StartEntry(i int) error {
	path, err := k.Site.EntrySettings(i)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var s map[string]any
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	bounds := s["bounds"].(map[string]any)
	for name, v := range map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
		"configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2,
		"budgetWindowS": 10, "budgetExtraRetries": 92, "recoverS": 12, "passMs": 120, "retryAfterS": 0, "requireFence": false,
	} {
		bounds[name] = v
	}
	s["role"], s["machineClass"], s["serves"] = "entry", "edge", []string{"edge", "control_plane"}
	s["limits"] = map[string]any{"cpuShare": 0.608, "cores": 1, "memoryMb": 414, "maxFds": 6150, "linkMbps": 1500.0, "diskMb": 0}
	if k.opt.Entry != nil {
		k.opt.Entry(i, s)
	}
	if data, err = json.Marshal(s); err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	k.Entries[i], err = procs.Start(standin.EntryName(i), "target/siskinford-platform", []string{"entry", "--metrics-port", "9464"}, environment(path))
	return err
}

// restartDelay is the time after which a process that has ended is started again, as the platform does.
const restartDelay = time.Second

// Supervise starts entries again that end by themselves, until stop is closed, and then returns how often each has ended.
func (k *Kit) Supervise(stop <-chan struct{}) (wait func() []int) {
	ends := make([]int, len(k.Entries))
	var wg sync.WaitGroup
	for i := range k.Entries {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-k.Entries[i].Done():
				}
				ends[i]++
				code, _ := k.Entries[i].Wait(context.Background())
				k.Log("entry %d has ended by itself with code %d: %s", i, code, firstLine(k.Entries[i].Output(), "panic:", "fatal error:"))
				select {
				case <-stop:
					return
				case <-time.After(restartDelay):
				}
				if err := k.StartEntry(i); err != nil {
					k.Log("entry %d cannot be started again: %v", i, err)
					return
				}
				k.Log("entry %d is started again", i)
			}
		})
	}
	return func() []int {
		wg.Wait()
		return ends
	}
}

// firstLine returns the first line of an output that begins with one of the prefixes.
func firstLine(output string, prefixes ...string) string {
	for _, line := range strings.Split(output, "\n") {
		for _, prefix := range prefixes {
			if strings.HasPrefix(line, prefix) {
				return line
			}
		}
	}
	return "no reason is given"
}

// AwaitReady waits until an entry says that it is ready.
func (k *Kit) AwaitReady(ctx context.Context, i int) error {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if k.Ready(i) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("entry %d is not ready: %s", i, k.Entries[i].Output())
}

// Ready reports whether an entry says that it is ready.
func (k *Kit) Ready(i int) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(k.Site.ReadyURL(i))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Address returns the "ip:port" at which clients reach an entry.
func (k *Kit) Address(i int) string { return strings.TrimPrefix(k.Site.EntryURL(i), "http://") }

// NewID returns a request ID.
func (k *Kit) NewID() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), k.sent)
}

func (k *Kit) close() {
	for i, p := range k.Entries {
		if p != nil {
			p.Signal(syscall.SIGCONT)
			p.Kill()
			if os.Getenv("LOGS") != "" {
				_ = os.WriteFile(filepath.Join(os.Getenv("LOGS"), fmt.Sprintf("entry-%d.log", i)), []byte(p.Output()), 0o600)
			}
		}
	}
	for _, p := range k.relays {
		p.Kill()
	}
	if k.Site != nil {
		k.Site.Close()
	}
	if k.Dir != "" {
		_ = os.RemoveAll(k.Dir)
	}
}
