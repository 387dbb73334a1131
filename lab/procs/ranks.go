package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/lab/ranks"
)

// Group is the name of the group of ranks of a Cluster.
const Group id.Group = "asistente-ranks"

// RankOptions configure the group of ranks of a Cluster. Its ranks are divided evenly
// among the endpoints of the model service.
type RankOptions struct {
	// Experts configures the group. Its number of ranks is a multiple of the endpoints.
	Experts config.Experts
	// Args are appended to the command line of the engines' stand-in.
	Args []string
}

// Ranks is the stand-in process for the engines of all ranks.
type Ranks struct {
	Process *Process
	URL     string
}

// startRanks starts the engines and adds the group to the model service.
func (c *Cluster) startRanks(ctx context.Context) error {
	o := c.options.Ranks
	if o == nil {
		return nil
	}
	for i := range c.options.Services {
		if c.options.Services[i].Name == ModelService {
			c.options.Services[i].Group = Group
			c.options.Services[i].Experts = &o.Experts
		}
	}
	args := append([]string{
		"ranks", "--size=" + strconv.Itoa(o.Experts.Ranks), "--layers=" + strconv.Itoa(o.Experts.Layers),
		"--experts=" + strconv.Itoa(o.Experts.PerLayer),
	}, o.Args...)
	p, url, err := c.startStandin(ctx, "ranks", args...)
	c.Ranks = &Ranks{Process: p, URL: url}
	return err
}

// assignRanks assigns the i-th endpoint of the model service its ranks.
func (c *Cluster) assignRanks(e *Endpoint, i int) {
	if c.Ranks == nil || e.Config.Service != ModelService {
		return
	}
	n := c.options.Ranks.Experts.Ranks / c.options.ModelEndpoints
	var indices, urls []string
	for rank := i * n; rank < (i+1)*n; rank++ {
		e.Config.Ranks = append(e.Config.Ranks, rank)
		indices = append(indices, strconv.Itoa(rank))
		urls = append(urls, fmt.Sprintf("%s/ranks/%d", c.Ranks.URL, rank))
	}
	e.args = append(e.args, "--group="+string(Group), "--ranks="+strings.Join(indices, ","), "--rank-urls="+strings.Join(urls, ","))
}

// Summary returns the maps in use and the split steps that the stand-in recorded.
func (r *Ranks) Summary(ctx context.Context) (ranks.Summary, error) {
	var s ranks.Summary
	err := r.call(ctx, http.MethodGet, "/lab/summary", nil, &s)
	return s, err
}

// Steps returns the records of the latest steps.
func (r *Ranks) Steps(ctx context.Context) ([]ranks.StepRecord, error) {
	var s []ranks.StepRecord
	err := r.call(ctx, http.MethodGet, "/lab/steps", nil, &s)
	return s, err
}

// SetFaults replaces the faults of a rank.
func (r *Ranks) SetFaults(ctx context.Context, rank int, f ranks.Faults) error {
	return r.call(ctx, http.MethodPut, fmt.Sprintf("/lab/ranks/%d/faults", rank), f, nil)
}

// Restart replaces the engine of a rank by one without state.
func (r *Ranks) Restart(ctx context.Context, rank int) error {
	return r.call(ctx, http.MethodPost, fmt.Sprintf("/lab/ranks/%d/restart", rank), nil, nil)
}

func (r *Ranks) call(ctx context.Context, method, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "body for %s", path)
	}
	request, err := http.NewRequestWithContext(ctx, method, r.URL+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, path)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s answered status %d", path, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(into), "answer of %s", path)
}
