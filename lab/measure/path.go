// Package measure measures the request path and the idle cost of real processes.
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
// direct call, and compares their streamed tokens per CPU second with those of a
// reverse proxy.
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
	f.IntVar(&c.requests, "requests", 3000, "requests to each target in the latency measurement, one at a time")
	f.IntVar(&c.concurrency, "concurrency", 64, "concurrent streams in the throughput measurement")
	f.IntVar(&c.tokens, "tokens", 200, "tokens of each streamed response")
	f.DurationVar(&c.stepTime, "step-time", 10*time.Millisecond, "engine step time in the throughput measurement")
	f.StringVar(&c.profiles, "profiles", "", "directory for CPU profiles of entry and agent; empty takes none")
	f.DurationVar(&c.duration, "duration", 8*time.Second, "duration of each throughput measurement")
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

// Quantiles are the latencies of requests to one target.
type Quantiles struct {
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Throughput is the rate and cost of streaming from one target.
type Throughput struct {
	Tokens int64         `json:"tokens"`
	CPU    time.Duration `json:"cpu_ns"`
	// TokensPerCPUSecond counts the CPU time of the measured processes only.
	TokensPerCPUSecond float64 `json:"tokens_per_cpu_second"`
	// TokensPerSecond is per second of wall time.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// PathResult compares the product with a direct call and a reverse proxy.
type PathResult struct {
	Direct   Quantiles     `json:"direct"`
	Product  Quantiles     `json:"product"`
	Proxy    Quantiles     `json:"proxy"`
	AddedP99 time.Duration `json:"added_p99_ns"`
	// EntryCPUShare is the entry's fraction of the CPU time of entry and agent.
	EntryCPUShare      float64    `json:"entry_cpu_share"`
	ProductThroughput  Throughput `json:"product_throughput"`
	BaselineThroughput Throughput `json:"baseline_throughput"`
	// Ratio is the product's tokens per CPU second divided by the baseline's.
	Ratio float64 `json:"ratio"`
	// BaselineIncomplete counts truncated responses of the reverse proxy.
	BaselineIncomplete int64 `json:"baseline_broken"`
}

func (r PathResult) print(w io.Writer) {
	fmt.Fprintf(w, "%-22s %12s %12s\n", "one token", "p50", "p99")
	fmt.Fprintf(w, "%-22s %12v %12v\n", "direct", r.Direct.P50, r.Direct.P99)
	fmt.Fprintf(w, "%-22s %12v %12v\n", "reverse proxy", r.Proxy.P50, r.Proxy.P99)
	fmt.Fprintf(w, "%-22s %12v %12v\n", "entry and agent", r.Product.P50, r.Product.P99)
	fmt.Fprintf(w, "added at p99: %v\n\n", r.AddedP99)
	fmt.Fprintf(w, "%-22s %14s %14s\n", "streaming", "tokens/s", "tokens/cpu-s")
	fmt.Fprintf(w, "%-22s %14.0f %14.0f\n", "reverse proxy", r.BaselineThroughput.TokensPerSecond, r.BaselineThroughput.TokensPerCPUSecond)
	fmt.Fprintf(w, "%-22s %14.0f %14.0f\n", "entry and agent", r.ProductThroughput.TokensPerSecond, r.ProductThroughput.TokensPerCPUSecond)
	fmt.Fprintf(w, "ratio: %.2f, entry's share of the processor time: %.2f\n", r.Ratio, r.EntryCPUShare)
	line, _ := json.Marshal(r) // all fields can be encoded
	fmt.Fprintf(w, "%s\n", line)
}

// Run measures latency, then throughput.
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

// targets are the routes to one engine.
type targets struct {
	cluster      *procs.Cluster
	proxyProcess *procs.Process
	direct       target
	product      target
	proxy        target
}

// target is a URL and the request body for it.
type target struct {
	url  string
	body func(tokens int) string
	// incomplete counts truncated responses. If nil, as for all but the baseline, a
	// truncated response is an error.
	incomplete *atomic.Int64
}

func (c *Path) startTargets(ctx context.Context, b procs.Binaries, step time.Duration) (*targets, error) {
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
	w := &targets{cluster: cluster, proxyProcess: proxy}
	proxyURL, err := proxy.AwaitPrefix(ctx, "listening on ")
	if err != nil {
		w.close()
		return nil, err
	}
	w.direct = target{url: engine + "/v1/completions", body: completionBody}
	w.proxy = target{url: proxyURL + "/v1/completions", body: completionBody, incomplete: new(atomic.Int64)}
	w.product = target{url: cluster.Entries[0].URL + "/v1/chat/completions", body: chatBody}
	return w, nil
}

func (w *targets) close() {
	w.proxyProcess.Kill()
	w.cluster.Close()
}

func completionBody(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"user: a chest"}`, procs.Model, tokens)
}

func chatBody(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"a chest"}]}`, procs.Model, tokens)
}

func (c *Path) measureLatency(ctx context.Context, b procs.Binaries, r *PathResult) error {
	w, err := c.startTargets(ctx, b, 0)
	if err != nil {
		return err
	}
	defer w.close()
	client := &http.Client{}
	histograms := map[*target]*hdrhistogram.Histogram{}
	order := []*target{&w.direct, &w.proxy, &w.product}
	for _, target := range order {
		histograms[target] = hdrhistogram.New(1, int64(time.Minute), 3)
	}
	for i := range c.requests + warmUpRequests {
		for _, target := range order {
			start := time.Now()
			if _, err := target.stream(ctx, client, 1); err != nil {
				return err
			}
			if i >= warmUpRequests {
				_ = histograms[target].RecordValue(int64(time.Since(start)))
			}
		}
	}
	r.Direct = quantiles(histograms[&w.direct])
	r.Proxy = quantiles(histograms[&w.proxy])
	r.Product = quantiles(histograms[&w.product])
	r.AddedP99 = r.Product.P99 - r.Direct.P99
	r.BaselineIncomplete = w.proxy.incomplete.Load()
	return nil
}

// warmUpRequests is the number of unmeasured requests to each target.
const warmUpRequests = 200

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: time.Duration(h.ValueAtQuantile(50)), P99: time.Duration(h.ValueAtQuantile(99))}
}

// stream sends one request and returns the number of events in its response.
func (w *target) stream(ctx context.Context, client *http.Client, tokens int) (int64, error) {
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
		return 0, errors.Newf("%s responded with status %d: %s", w.url, response.StatusCode, body)
	}
	n, err := countEvents(response.Body)
	if err != nil && w.incomplete != nil {
		w.incomplete.Add(1)
		return n, nil
	}
	return n, errors.Wrapf(err, "read response of %s, request %s", w.url, response.Header.Get(problem.HeaderRequestID))
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
	w, err := c.startTargets(ctx, b, c.stepTime)
	if err != nil {
		return err
	}
	defer w.close()
	entry, agent := w.cluster.Entries[0].Process, w.cluster.Endpoints[0].Agent
	if r.BaselineThroughput, err = c.measureStreaming(ctx, &w.proxy, w.proxyProcess); err != nil {
		return err
	}
	before, err := entry.CPU()
	if err != nil {
		return err
	}
	var profiling sync.WaitGroup
	c.captureProfiles(ctx, &profiling, w.cluster)
	if r.ProductThroughput, err = c.measureStreaming(ctx, &w.product, entry, agent); err != nil {
		return errors.Wrapf(err, "entry output: %s, agent output: %s", entry.Output(), agent.Output())
	}
	profiling.Wait()
	after, err := entry.CPU()
	if err != nil {
		return err
	}
	r.BaselineIncomplete += w.proxy.incomplete.Load()
	r.EntryCPUShare = float64(after-before) / float64(r.ProductThroughput.CPU)
	r.Ratio = r.ProductThroughput.TokensPerCPUSecond / r.BaselineThroughput.TokensPerCPUSecond
	return nil
}

// measureStreaming streams concurrently and attributes the CPU time of the measured
// processes to the tokens.
func (c *Path) measureStreaming(ctx context.Context, w *target, measured ...*procs.Process) (Throughput, error) {
	before, err := totalCPU(measured)
	if err != nil {
		return Throughput{}, err
	}
	start := time.Now()
	tokens, err := c.streamConcurrently(ctx, w)
	if err != nil {
		return Throughput{}, err
	}
	elapsed := time.Since(start)
	after, err := totalCPU(measured)
	if err != nil {
		return Throughput{}, err
	}
	t := Throughput{Tokens: tokens, CPU: after - before}
	t.TokensPerCPUSecond = float64(tokens) / t.CPU.Seconds()
	t.TokensPerSecond = float64(tokens) / elapsed.Seconds()
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

// streamConcurrently streams response after response on c.concurrency goroutines and
// returns the number of tokens.
func (c *Path) streamConcurrently(ctx context.Context, w *target) (int64, error) {
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
