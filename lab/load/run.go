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

// entries is the number of entry hosts in each scenario.
const entries = 4

// Result is the outcome of one variant.
type Result struct {
	Scenario string    `json:"scenario"`
	Variant  string    `json:"variant"`
	Seed     uint64    `json:"seed"`
	Classes  []Summary `json:"classes"`
	Teams    []Summary `json:"teams,omitempty"`
	// ProductCPU is the processor time of all entries and agents in seconds.
	ProductCPU float64 `json:"product_cpu_s"`
	Course     Course  `json:"course"`
}

// runVariant starts a fleet, sends the schedule and summarizes.
func runVariant(ctx context.Context, b procs.Binaries, s Scenario, v Variant, seed uint64) (Result, error) {
	c, err := procs.NewCluster(ctx, procs.Options{
		Binaries: b, Zones: zones, Entries: entries, ModelEndpoints: s.Models, NoProxy: true, Teams: s.Shape.Teams,
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
	all := send(ctx, c, s, seed)
	r := Result{Scenario: s.Name, Variant: v.Name, Seed: seed, Course: course(all, s.Shape.Duration)}
	for _, class := range []Class{Short, Long} {
		summary := summarize(class, all, func(o observation) bool { return o.arrival.Class == class })
		if summary.Requests > 0 {
			r.Classes = append(r.Classes, summary)
		}
	}
	if s.Shape.Teams > 1 {
		for team := range s.Shape.Teams {
			name := Class(fmt.Sprintf("team-%d", team))
			r.Teams = append(r.Teams, summarize(name, all, func(o observation) bool { return o.arrival.Team == team }))
		}
	}
	r.ProductCPU = productCPU(c)
	return r, nil
}

func productCPU(c *procs.Cluster) float64 {
	var total time.Duration
	for _, e := range c.Entries {
		cpu, _ := e.Process.CPU() // a process that has ended counts as zero
		total += cpu
	}
	for _, e := range c.Endpoints {
		cpu, _ := e.Agent.CPU()
		total += cpu
	}
	return total.Seconds()
}

// send sends every arrival at its time, whatever became of the earlier ones, and
// waits for all answers.
func send(ctx context.Context, c *procs.Cluster, s Scenario, seed uint64) []observation {
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
	for _, a := range s.Shape.Schedule(seed, len(c.Entries)) {
		time.Sleep(time.Until(start.Add(a.At)))
		wg.Go(func() { r.add(request(ctx, client, c, a, start.Add(a.At))) })
	}
	wg.Wait()
	client.CloseIdleConnections()
	return r.all
}

// request sends one request and observes its answer.
func request(ctx context.Context, client *http.Client, c *procs.Cluster, a Arrival, intended time.Time) observation {
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
		o.refused(response)
	} else {
		o.stream(response, intended)
	}
	o.last = time.Since(intended)
	return o
}

func (o *observation) refused(response *http.Response) {
	var p problem.Problem
	data, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(data, &p) != nil {
		return
	}
	o.outcome = p.Outcome
	o.code = string(p.Code)
}

func (o *observation) stream(response *http.Response, intended time.Time) {
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
