// Package sitelab implements the subcommands that run siskinford-platform and
// siskinford-relay as processes against stand-ins of the platform.
package sitelab

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/lab/procs"
	"github.com/siskinford/siskinford/lab/replicas"
	"github.com/siskinford/siskinford/platform/standin"
)

// Command is the site subcommand.
type Command struct {
	entries, ranks, rate int
	network              string
	duration             time.Duration
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "site" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "run entries and relays against stand-ins and trace sample requests"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "site [--entries n] [--ranks n] [--rate n --for d] [--network 127.a.b]\n" +
		"  Each host has its own address on the loopback network.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.entries, "entries", 3, "number of entries")
	f.IntVar(&c.ranks, "ranks", 8, "number of ranks of the model's group")
	f.IntVar(&c.rate, "rate", 20, "streams per second of the load")
	f.DurationVar(&c.duration, "for", 4*time.Second, "duration of the load")
	f.StringVar(&c.network, "network", "127.77.1", "first three octets of the addresses")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 10 * time.Second
	// logDelay is the time to wait for the log lines of a request.
	logDelay = 100 * time.Millisecond
	// streamEvents is the number of events of a stream, slots the number of concurrent
	// streams of a rank.
	streamEvents, slots = 20, 12
)

// siteConfig returns a site whose group needs tens of milliseconds for a pass.
func (c *Command) siteConfig(dir string, ports []int) standin.SiteConfig {
	return standin.SiteConfig{
		IPPrefix: c.network, Zones: 3, Entries: c.entries, Ranks: c.ranks, PlainReplicas: 3, EventsPerStream: streamEvents, Dir: dir,
		ClientPort: ports[0], ReadyPort: ports[1], ControlPort: ports[2], InternalPort: ports[3], AppPort: ports[4], StorePort: ports[5],
		Group: replicas.GroupConfig{
			Name: "g0", Slots: slots, MaxWaiting: 2 * slots, LayerSets: 4, ExpertsPerSet: 4 * c.ranks, MaxPerRank: 5, MaxNewPerMap: 2,
			StepTime: 15 * time.Millisecond, TimePerStream: 3 * time.Millisecond, CopyTime: 100 * time.Millisecond,
			FormTime: 600 * time.Millisecond, StallTimeout: 1500 * time.Millisecond, Seed: 1,
		},
	}
}

func (c *Command) run(ctx context.Context, out io.Writer) error {
	dir, err := os.MkdirTemp("", "siskinford-site")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fmt.Fprintln(out, "building the programs")
	programs, err := procs.Build(dir, false)
	if err != nil {
		return err
	}
	ports, err := freePorts(6)
	if err != nil {
		return err
	}
	site, err := standin.NewSite(c.siteConfig(dir, ports))
	if err != nil {
		return err
	}
	defer site.Close()
	p, err := standin.StartProcesses(site, programs)
	if err != nil {
		return err
	}
	defer p.Close()
	if err := awaitReady(ctx, site, c.entries); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d entries and %d relays run; clients reach entry 0 at %s, operators at %s\n\n",
		c.entries, c.ranks, site.EntryURL(0), site.ControlURL(0))
	if err := c.showRequests(ctx, out, site, p); err != nil {
		return err
	}
	c.runLoad(ctx, out, site)
	return stopAll(out, p)
}

func freePorts(n int) ([]int, error) {
	var ports []int
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		_ = l.Close()
	}
	return ports, nil
}

func awaitReady(ctx context.Context, site *standin.Site, entries int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range entries {
		for {
			if isReady(ctx, site.ReadyURL(i)) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry %d is not ready: %w", i, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// showRequests sends a request of each kind and prints its status and log lines.
func (c *Command) showRequests(ctx context.Context, out io.Writer, site *standin.Site, p *standin.Processes) error {
	for i, path := range []string{standin.PathChat, standin.PathIssue, standin.PathLook} {
		request := fmt.Sprintf("shown-%d", i)
		status, body, err := site.Send(ctx, 0, path+"example", request)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s -> status %d, %d bytes\n", path+"example", status, len(body))
		time.Sleep(logDelay)
		for _, line := range strings.Split(p.Entries[0].Output(), "\n") {
			if strings.Contains(line, `"request":"`+request+`"`) {
				fmt.Fprintln(out, " ", line)
			}
		}
	}
	fmt.Fprintln(out)
	return nil
}

// runLoad sends streams, shifts the demand for experts halfway and prints how the
// expert map follows.
func (c *Command) runLoad(ctx context.Context, out io.Writer, site *standin.Site) {
	ctx, cancel := context.WithTimeout(ctx, c.duration)
	defer cancel()
	var sent, served atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(max(c.rate, 1)))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			wg.Go(func() {
				sent.Add(1)
				status, _, err := site.Send(context.WithoutCancel(ctx), n%c.entries, standin.PathChat+"x", fmt.Sprintf("load-%d", n))
				if err == nil && status == http.StatusOK {
					served.Add(1)
				}
			})
		}
	})
	statusTicker := time.NewTicker(c.duration / 8)
	defer statusTicker.Stop()
	for n := 1; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
		case <-statusTicker.C:
			s := site.Group.Status()
			fmt.Fprintf(out, "pass %d: the most loaded rank has %.2f times the mean, %d maps so far\n", s.Step, s.Skew, s.MapSwitches)
			if n == 4 {
				fmt.Fprintln(out, "demand for experts shifts")
				site.Group.ShiftPopularity()
			}
		}
	}
	wg.Wait()
	fmt.Fprintf(out, "%d of %d streams completed; passes with two maps: %d\n", served.Load(), sent.Load(), len(site.Group.Status().Violations))
}

// stopAll stops all entries and reports their exit codes.
func stopAll(out io.Writer, p *standin.Processes) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, e := range p.Entries {
		e.Signal(syscall.SIGTERM)
	}
	for i, e := range p.Entries {
		code, err := e.Wait(ctx)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "entry %d stopped with code %d\n", i, code)
	}
	return nil
}
