// Package measure runs measurements of the path against real processes.
package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/lab/procs"
)

// Path is the subcommand that measures the latency that entry and agent add to a
// direct call, and their streamed tokens per second of processor time against a
// plain reverse proxy.
type Path struct {
	requests    int
	concurrency int
	tokens      int
	stepTime    time.Duration
	duration    time.Duration
	profiles    string
}

// Name implements subcommands.Command.
func (*Path) Name() string { return "path" }

// Synopsis implements subcommands.Command.
func (*Path) Synopsis() string {
	return "measure the path against a direct call and a reverse proxy"
}

// Usage implements subcommands.Command.
func (*Path) Usage() string {
	return "path [--requests N] [--concurrency N] [--tokens N]\n  Builds the programs, runs them as processes and prints a table and one JSON line.\n"
}

// SetFlags implements subcommands.Command.
func (c *Path) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.requests, "requests", 3000, "requests of the latency measurement, one at a time on each way")
	f.IntVar(&c.concurrency, "concurrency", 64, "streams at the same time in the throughput measurement")
	f.IntVar(&c.tokens, "tokens", 200, "tokens of each streamed answer")
	f.DurationVar(&c.stepTime, "step-time", 10*time.Millisecond, "engine step time in the throughput measurement")
	f.StringVar(&c.profiles, "profiles", "", "directory for processor profiles of entry and agent; empty takes none")
	f.DurationVar(&c.duration, "duration", 8*time.Second, "time of each throughput measurement")
}

// Execute implements subcommands.Command.
func (c *Path) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	result, err := c.Run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	result.print(os.Stdout)
	return subcommands.ExitSuccess
}

// Quantiles are times of one way.
type Quantiles struct {
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Throughput is the cost of streaming on one way.
type Throughput struct {
	Tokens int64         `json:"tokens"`
	CPU    time.Duration `json:"cpu_ns"`
	// PerCPUSecond is the number of tokens per second of processor time.
	PerCPUSecond float64 `json:"tokens_per_cpu_second"`
	// PerSecond is the number of tokens per second of time.
	PerSecond float64 `json:"tokens_per_second"`
}

// PathResult is the result of the path measurement.
type PathResult struct {
	Direct   Quantiles     `json:"direct"`
	Product  Quantiles     `json:"product"`
	Proxy    Quantiles     `json:"proxy"`
	AddedP99 time.Duration `json:"added_p99_ns"`
	// EntryShare is the entry's part of the product's processor time.
	EntryShare   float64    `json:"entry_cpu_share"`
	ProductRate  Throughput `json:"product_throughput"`
	BaselineRate Throughput `json:"baseline_throughput"`
	// Ratio is the product's tokens per second of processor time over the baseline's.
	Ratio float64 `json:"ratio"`
	// BaselineBroken counts answers that the reverse proxy did not complete.
	BaselineBroken int64 `json:"baseline_broken"`
}

func (r PathResult) print(w io.Writer) {
	fmt.Fprintf(w, "%-22s %12s %12s\n", "one token", "p50", "p99")
	fmt.Fprintf(w, "%-22s %12v %12v\n", "direct", r.Direct.P50, r.Direct.P99)
	fmt.Fprintf(w, "%-22s %12v %12v\n", "reverse proxy", r.Proxy.P50, r.Proxy.P99)
	fmt.Fprintf(w, "%-22s %12v %12v\n", "entry and agent", r.Product.P50, r.Product.P99)
	fmt.Fprintf(w, "added at p99: %v\n\n", r.AddedP99)
	fmt.Fprintf(w, "%-22s %14s %14s\n", "streaming", "tokens/s", "tokens/cpu-s")
	fmt.Fprintf(w, "%-22s %14.0f %14.0f\n", "reverse proxy", r.BaselineRate.PerSecond, r.BaselineRate.PerCPUSecond)
	fmt.Fprintf(w, "%-22s %14.0f %14.0f\n", "entry and agent", r.ProductRate.PerSecond, r.ProductRate.PerCPUSecond)
	fmt.Fprintf(w, "ratio: %.2f, entry's share of the processor time: %.2f\n", r.Ratio, r.EntryShare)
	line, _ := json.Marshal(r) // the type has no member that can fail
	fmt.Fprintf(w, "%s\n", line)
}

// Run measures all ways in one run.
func (c *Path) Run(ctx context.Context) (PathResult, error) {
	dir, err := os.MkdirTemp("", "siskinford-path-")
	if err != nil {
		return PathResult{}, err
	}
	defer os.RemoveAll(dir)
	binaries, err := procs.Build(dir, false)
	if err != nil {
		return PathResult{}, err
	}
	var r PathResult
	if err := c.measureLatency(ctx, binaries, &r); err != nil {
		return r, err
	}
	return r, c.measureThroughput(ctx, binaries, &r)
}

// ways are the addresses by which one engine is reached.
type ways struct {
	cluster *procs.Cluster
	proxy   *procs.Process
	direct  way
	product way
	plain   way
}

// way is one address with the body that it takes.
type way struct {
	url  string
	body func(tokens int) string
	// broken counts answers that ended early. Only the baseline may break some.
	broken *atomic.Int64
}

func (c *Path) open(ctx context.Context, b procs.Binaries, step time.Duration) (*ways, error) {
	cluster, err := procs.NewCluster(ctx, procs.Options{
		Binaries: b, Entries: 1, ModelEndpoints: 1, NoProxy: true,
		EngineArgs: []string{"--step-time=" + step.String(), fmt.Sprintf("--slots=%d", c.concurrency)},
		AgentArgs:  []string{fmt.Sprintf("--slots=%d", c.concurrency)},
	})
	if err != nil {
		return nil, err
	}
	engine := cluster.Endpoints[0].BackendURL
	proxy, err := procs.Start("reverse-proxy", b.Lab, []string{"reverse-proxy", "--target=" + engine}, nil)
	if err != nil {
		cluster.Close()
		return nil, err
	}
	w := &ways{cluster: cluster, proxy: proxy}
	proxyURL, err := proxy.AwaitPrefix(ctx, "listening on ")
	if err != nil {
		w.close()
		return nil, err
	}
	w.direct = way{url: engine + "/v1/completions", body: completionBody}
	w.plain = way{url: proxyURL + "/v1/completions", body: completionBody, broken: new(atomic.Int64)}
	w.product = way{url: cluster.Entries[0].URL + "/v1/chat/completions", body: chatBody}
	return w, nil
}

func (w *ways) close() {
	w.proxy.Kill()
	w.cluster.Close()
}

func completionBody(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"user: a chest"}`, procs.Model, tokens)
}

func chatBody(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"a chest"}]}`, procs.Model, tokens)
}

func (c *Path) measureLatency(ctx context.Context, b procs.Binaries, r *PathResult) error {
	w, err := c.open(ctx, b, 0)
	if err != nil {
		return err
	}
	defer w.close()
	client := &http.Client{}
	histograms := map[*way]*hdrhistogram.Histogram{}
	order := []*way{&w.direct, &w.plain, &w.product}
	for _, way := range order {
		histograms[way] = hdrhistogram.New(1, int64(time.Minute), 3)
	}
	for i := range c.requests + warmUp {
		for _, way := range order {
			begun := time.Now()
			if _, err := way.stream(ctx, client, 1); err != nil {
				return err
			}
			if i >= warmUp {
				_ = histograms[way].RecordValue(int64(time.Since(begun)))
			}
		}
	}
	r.Direct = quantiles(histograms[&w.direct])
	r.Proxy = quantiles(histograms[&w.plain])
	r.Product = quantiles(histograms[&w.product])
	r.AddedP99 = r.Product.P99 - r.Direct.P99
	r.BaselineBroken = w.plain.broken.Load()
	return nil
}

// warmUp is the number of requests on each way before the measurement.
const warmUp = 200

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: time.Duration(h.ValueAtQuantile(50)), P99: time.Duration(h.ValueAtQuantile(99))}
}

// stream sends one request and returns the number of events of its answer.
func (w *way) stream(ctx context.Context, client *http.Client, tokens int) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url, bytes.NewBufferString(w.body(tokens)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+procs.TeamKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return 0, errors.Newf("%s answered status %d: %s", w.url, response.StatusCode, body)
	}
	n, err := countEvents(response.Body)
	if err != nil && w.broken != nil {
		w.broken.Add(1)
		return n, nil
	}
	return n, errors.Wrapf(err, "answer of %s, request %s", w.url, response.Header.Get(problem.HeaderRequestID))
}

func countEvents(r io.Reader) (int64, error) {
	var n int64
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if bytes.HasPrefix(scanner.Bytes(), []byte("data: ")) {
			n++
		}
	}
	return n, scanner.Err()
}

func (c *Path) measureThroughput(ctx context.Context, b procs.Binaries, r *PathResult) error {
	w, err := c.open(ctx, b, c.stepTime)
	if err != nil {
		return err
	}
	defer w.close()
	entry, agent := w.cluster.Entries[0].Process, w.cluster.Endpoints[0].Agent
	if r.BaselineRate, err = c.load(ctx, &w.plain, w.proxy); err != nil {
		return err
	}
	before, err := entry.CPU()
	if err != nil {
		return err
	}
	var profiling sync.WaitGroup
	c.profile(ctx, &profiling, w.cluster)
	if r.ProductRate, err = c.load(ctx, &w.product, entry, agent); err != nil {
		return errors.Wrapf(err, "entry printed %s, agent printed %s", entry.Output(), agent.Output())
	}
	profiling.Wait()
	after, err := entry.CPU()
	if err != nil {
		return err
	}
	r.BaselineBroken += w.plain.broken.Load()
	r.EntryShare = float64(after-before) / float64(r.ProductRate.CPU)
	r.Ratio = r.ProductRate.PerCPUSecond / r.BaselineRate.PerCPUSecond
	return nil
}

// load streams from several callers at the same time and returns the processor
// time that the measured processes used meanwhile.
func (c *Path) load(ctx context.Context, w *way, measured ...*procs.Process) (Throughput, error) {
	before, err := totalCPU(measured)
	if err != nil {
		return Throughput{}, err
	}
	begun := time.Now()
	tokens, err := c.callers(ctx, w)
	if err != nil {
		return Throughput{}, err
	}
	elapsed := time.Since(begun)
	after, err := totalCPU(measured)
	if err != nil {
		return Throughput{}, err
	}
	t := Throughput{Tokens: tokens, CPU: after - before}
	t.PerCPUSecond = float64(tokens) / t.CPU.Seconds()
	t.PerSecond = float64(tokens) / elapsed.Seconds()
	return t, nil
}

func totalCPU(processes []*procs.Process) (time.Duration, error) {
	var total time.Duration
	for _, p := range processes {
		cpu, err := p.CPU()
		if err != nil {
			return 0, err
		}
		total += cpu
	}
	return total, nil
}

// callers streams answers one after the other on each of several goroutines and
// returns the number of tokens.
func (c *Path) callers(ctx context.Context, w *way) (int64, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.concurrency}}
	end := time.Now().Add(c.duration)
	var tokens atomic.Int64
	var failed atomic.Pointer[error]
	var wg sync.WaitGroup
	for range c.concurrency {
		wg.Go(func() {
			for time.Now().Before(end) && failed.Load() == nil {
				n, err := w.stream(ctx, client, c.tokens)
				if err != nil {
					failed.Store(&err)
					return
				}
				tokens.Add(min(n, int64(c.tokens)))
			}
		})
	}
	wg.Wait()
	if err := failed.Load(); err != nil {
		return 0, *err
	}
	return tokens.Load(), nil
}
