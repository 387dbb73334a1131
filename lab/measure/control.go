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

// Control is the subcommand that measures the traffic, CPU time and memory of an idle
// entry and agent.
type Control struct {
	endpoints int
	entries   int
	duration  time.Duration
}

// Name implements subcommands.Command.
func (*Control) Name() string { return "control" }

// Synopsis implements subcommands.Command.
func (*Control) Synopsis() string { return "measure the cost of an idle entry and agent" }

// Usage implements subcommands.Command.
func (*Control) Usage() string {
	return "control [--endpoints N] [--entries N] [--duration 20s]\n"
}

// SetFlags implements subcommands.Command.
func (c *Control) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.endpoints, "endpoints", 48, "model endpoints, all in one zone")
	f.IntVar(&c.entries, "entries", 1, "entries in the same zone")
	f.DurationVar(&c.duration, "duration", 20*time.Second, "duration of the measurement")
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

// ControlResult is the idle cost of one entry and one agent.
type ControlResult struct {
	Endpoints int `json:"endpoints"`
	Entries   int `json:"entries"`
	// Rates cover both directions of the entry's links, without UDP and IP headers.
	AgentBytesPerSecond   float64 `json:"entry_agent_bytes_per_s"`
	AgentPacketsPerSecond float64 `json:"entry_agent_packets_per_s"`
	PeerBytesPerSecond    float64 `json:"entry_peer_bytes_per_s"`
	// Core shares are CPU seconds per second.
	EntryCoreShare float64 `json:"entry_core_share"`
	AgentCoreShare float64 `json:"agent_core_share"`
	// Memory is resident memory.
	EntryMemoryBytes int64 `json:"entry_memory_bytes"`
	AgentMemoryBytes int64 `json:"agent_memory_bytes"`
}

// settleTime lets connections be set up before the measurement.
const settleTime = 5 * time.Second

// Run starts a fleet and measures its first entry and first agent.
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
	time.Sleep(settleTime)
	return r, c.measure(ctx, cluster, &r)
}

// usage is a snapshot of cumulative counters.
type usage struct {
	metrics            map[string]float64
	entryCPU, agentCPU time.Duration
}

func (c *Control) measure(ctx context.Context, cluster *procs.Cluster, r *ControlResult) error {
	before, err := readUsage(ctx, cluster)
	if err != nil {
		return err
	}
	time.Sleep(c.duration)
	after, err := readUsage(ctx, cluster)
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
	r.AgentBytesPerSecond = rate("siskinford_link_bytes_total", "agents")
	r.AgentPacketsPerSecond = rate("siskinford_link_packets_total", "agents")
	r.PeerBytesPerSecond = rate("siskinford_link_bytes_total", "entries")
	r.EntryCoreShare = (after.entryCPU - before.entryCPU).Seconds() / seconds
	r.AgentCoreShare = (after.agentCPU - before.agentCPU).Seconds() / seconds
	if r.EntryMemoryBytes, err = cluster.Entries[0].Process.Memory(); err != nil {
		return err
	}
	r.AgentMemoryBytes, err = cluster.Endpoints[0].Agent.Memory()
	return err
}

func readUsage(ctx context.Context, cluster *procs.Cluster) (usage, error) {
	var r usage
	var err error
	if r.entryCPU, err = cluster.Entries[0].Process.CPU(); err != nil {
		return r, err
	}
	if r.agentCPU, err = cluster.Endpoints[0].Agent.CPU(); err != nil {
		return r, err
	}
	r.metrics, err = scrapeMetrics(ctx, cluster.Entries[0].OperatorURL+"/metrics")
	return r, err
}

// scrapeMetrics returns the samples of a metrics page, keyed by name and labels.
func scrapeMetrics(ctx context.Context, url string) (map[string]float64, error) {
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
