package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/lab/procs"
)

// Control is the subcommand that measures what entry and agent spend without any
// request: bytes, processor time and memory.
type Control struct {
	endpoints int
	entries   int
	duration  time.Duration
}

// Name implements subcommands.Command.
func (*Control) Name() string { return "control" }

// Synopsis implements subcommands.Command.
func (*Control) Synopsis() string { return "measure the cost of control without requests" }

// Usage implements subcommands.Command.
func (*Control) Usage() string {
	return "control [--endpoints N] [--entries N] [--duration 20s]\n"
}

// SetFlags implements subcommands.Command.
func (c *Control) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.endpoints, "endpoints", 48, "model endpoints, all in one zone")
	f.IntVar(&c.entries, "entries", 1, "entries in the same zone")
	f.DurationVar(&c.duration, "duration", 20*time.Second, "time of the measurement")
}

// Execute implements subcommands.Command.
func (c *Control) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	r, err := c.Run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	line, err := json.Marshal(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Printf("%s\n", line)
	return subcommands.ExitSuccess
}

// ControlResult is the cost of control of one entry and one agent.
type ControlResult struct {
	Endpoints int `json:"endpoints"`
	Entries   int `json:"entries"`
	// Bytes per second of the entry's links, both directions, without UDP and IP headers.
	AgentBytes   float64 `json:"entry_agent_bytes_per_s"`
	AgentPackets float64 `json:"entry_agent_packets_per_s"`
	PeerBytes    float64 `json:"entry_peer_bytes_per_s"`
	// Core shares are processor seconds per second.
	EntryCore float64 `json:"entry_core_share"`
	AgentCore float64 `json:"agent_core_share"`
	// Resident memory in bytes.
	EntryMemory int64 `json:"entry_memory_bytes"`
	AgentMemory int64 `json:"agent_memory_bytes"`
}

// settle is the time before the measurement in which connections are set up.
const settle = 5 * time.Second

// Run measures one entry and one agent.
func (c *Control) Run(ctx context.Context) (ControlResult, error) {
	r := ControlResult{Endpoints: c.endpoints, Entries: c.entries}
	dir, err := os.MkdirTemp("", "siskinford-control-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	binaries, err := procs.Build(dir, false)
	if err != nil {
		return r, err
	}
	cluster, err := procs.NewCluster(ctx, procs.Options{
		Binaries: binaries, Entries: c.entries, ModelEndpoints: c.endpoints, NoProxy: true,
	})
	if err != nil {
		return r, err
	}
	defer cluster.Close()
	time.Sleep(settle)
	return r, c.observe(ctx, cluster, &r)
}

// reading is what was spent up to a moment.
type reading struct {
	metrics    map[string]float64
	entry, agt time.Duration
}

func (c *Control) observe(ctx context.Context, cluster *procs.Cluster, r *ControlResult) error {
	before, err := read(ctx, cluster)
	if err != nil {
		return err
	}
	time.Sleep(c.duration)
	after, err := read(ctx, cluster)
	if err != nil {
		return err
	}
	seconds := c.duration.Seconds()
	rate := func(prefix, peer string) float64 {
		var total float64
		for name, value := range after.metrics {
			if strings.HasPrefix(name, prefix) && strings.Contains(name, peer) {
				total += value - before.metrics[name]
			}
		}
		return total / seconds
	}
	r.AgentBytes = rate("siskinford_link_bytes_total", "agents")
	r.AgentPackets = rate("siskinford_link_packets_total", "agents")
	r.PeerBytes = rate("siskinford_link_bytes_total", "entries")
	r.EntryCore = (after.entry - before.entry).Seconds() / seconds
	r.AgentCore = (after.agt - before.agt).Seconds() / seconds
	if r.EntryMemory, err = cluster.Entries[0].Process.Memory(); err != nil {
		return err
	}
	r.AgentMemory, err = cluster.Endpoints[0].Agent.Memory()
	return err
}

func read(ctx context.Context, cluster *procs.Cluster) (reading, error) {
	var r reading
	var err error
	if r.entry, err = cluster.Entries[0].Process.CPU(); err != nil {
		return r, err
	}
	if r.agt, err = cluster.Endpoints[0].Agent.CPU(); err != nil {
		return r, err
	}
	r.metrics, err = scrape(ctx, cluster.Entries[0].OperatorURL+"/metrics")
	return r, err
}

// scrape returns the values of a metrics page by name and labels.
func scrape(ctx context.Context, url string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	values := make(map[string]float64)
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, text, ok := strings.Cut(scanner.Text(), " ")
		if !ok {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values, scanner.Err()
}
