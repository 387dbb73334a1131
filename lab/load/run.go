package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/lab/procs"
)

// entryHosts is the number of entries in each scenario.
const entryHosts = 4

// Result is the outcome of one variant.
type Result struct {
	Scenario string    `json:"scenario"`
	Variant  string    `json:"variant"`
	Seed     uint64    `json:"seed"`
	Classes  []Summary `json:"classes"`
	Teams    []Summary `json:"teams,omitempty"`
	// ProductCPUSeconds is the CPU time of all entries and agents.
	ProductCPUSeconds float64    `json:"product_cpu_s"`
	TimeSeries        TimeSeries `json:"course"`
}

// runVariant starts a fleet, sends the scheduled requests and summarizes the responses.
func runVariant(ctx context.Context, b procs.Binaries, s Scenario, v Variant, seed uint64) (Result, error) {
	c, err := procs.NewCluster(ctx, procs.Options{
		Binaries: b, Zones: zones, Entries: entryHosts, ModelEndpoints: s.Models, NoProxy: true, Teams: s.Workload.Teams,
		Services: []config.Service{{
			Name: procs.ModelService, Type: config.ServiceTypeModel, Model: procs.Model,
			DeadlineMS: int(deadline.Milliseconds()), Idempotent: true,
		}},
		EngineArgs: append([]string{fmt.Sprintf("--slots=%d", s.Slots)}, s.EngineArgs...),
		AgentArgs:  append([]string{fmt.Sprintf("--slots=%d", s.Slots)}, v.AgentArgs...),
		EntryArgs:  v.EntryArgs,
	})
	if err != nil {
		return Result{}, err
	}
	defer c.Close()
	all := sendAll(ctx, c, s, seed)
	r := Result{Scenario: s.Name, Variant: v.Name, Seed: seed, TimeSeries: timeSeries(all, s.Workload.Duration)}
	for _, class := range []Class{Short, Long} {
		summary := summarize(class, all, func(o observation) bool { return o.arrival.Class == class })
		if summary.Requests > 0 {
			r.Classes = append(r.Classes, summary)
		}
	}
	if s.Workload.Teams > 1 {
		for team := range s.Workload.Teams {
			name := Class(fmt.Sprintf("team-%d", team))
			r.Teams = append(r.Teams, summarize(name, all, func(o observation) bool { return o.arrival.Team == team }))
		}
	}
	r.ProductCPUSeconds = productCPU(c)
	return r, nil
}

func productCPU(c *procs.Cluster) float64 {
	var total time.Duration
	for _, e := range c.Entries {
		cpu, _ := e.Process.CPU() // an exited process counts as zero
		total += cpu
	}
	for _, e := range c.Endpoints {
		cpu, _ := e.Agent.CPU()
		total += cpu
	}
	return total.Seconds()
}

// sendAll sends each request at its scheduled time, even while earlier ones are
// pending, and waits for all responses.
func sendAll(ctx context.Context, c *procs.Cluster, s Scenario, seed uint64) []observation {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}, Timeout: time.Minute}
	var r recorder
	var wg sync.WaitGroup
	start := time.Now()
	if s.Fault != nil {
		wg.Go(func() {
			time.Sleep(s.FaultAt)
			s.Fault(c)
		})
	}
	for _, a := range s.Workload.Schedule(seed, len(c.Entries)) {
		time.Sleep(time.Until(start.Add(a.At)))
		wg.Go(func() { r.add(sendRequest(ctx, client, c, a, start.Add(a.At))) })
	}
	wg.Wait()
	client.CloseIdleConnections()
	return r.all
}

// sendRequest sends one request and records its response.
func sendRequest(ctx context.Context, client *http.Client, c *procs.Cluster, a Arrival, intended time.Time) observation {
	o := observation{arrival: a, outcome: outcome.Unknown}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, procs.Model, a.Tokens, a.Prompt)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Entries[a.Entry].URL+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return o
	}
	r.Header.Set("Authorization", "Bearer "+c.TeamKey(a.Team))
	response, err := client.Do(r)
	o.last = time.Since(intended)
	if err != nil {
		return o
	}
	defer response.Body.Close()
	o.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		o.readProblem(response)
	} else {
		o.readStream(response, intended)
	}
	o.last = time.Since(intended)
	return o
}

func (o *observation) readProblem(response *http.Response) {
	var p problem.Problem
	data, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(data, &p) != nil {
		return
	}
	o.outcome = p.Outcome
	o.code = string(p.Code)
}

func (o *observation) readStream(response *http.Response, intended time.Time) {
	scanner := bufio.NewScanner(response.Body)
	var previous time.Time
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		now := time.Now()
		if o.first == 0 {
			o.first = now.Sub(intended)
		} else {
			o.gaps = append(o.gaps, now.Sub(previous))
		}
		previous = now
		if string(data) == "[DONE]" {
			o.complete = true
			o.outcome = outcome.Ran
			return
		}
	}
}
