package soak

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options configure Run.
type Options struct {
	// Seeds are run in order, up to Parallel of them at a time.
	Seeds    []uint64
	Parallel int
	// LoadDuration is the duration of the load for each seed.
	LoadDuration time.Duration
	Shape        Shape
	// Only restricts the kinds of faults by name. Empty means all.
	Only []string
	// Dir is the directory for reports of violations. Empty means no reports.
	Dir string
	// Open starts a site.
	Open func(Shape) (Site, error)
	Out  io.Writer
}

// DefaultLoadDuration has room for two waves of faults.
const DefaultLoadDuration = warmUp + 2*(waveDuration+waveGap)

// Run runs all seeds and returns their results. The error is a failure of the test
// harness.
func Run(ctx context.Context, o Options) ([]Result, error) {
	results := make([]Result, len(o.Seeds))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(o.Parallel, 1))
	for i, seed := range o.Seeds {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			var err error
			results[i], err = runSeed(ctx, o, seed)
			return err
		})
	}
	err := g.Wait()
	return results, err
}

func runSeed(ctx context.Context, o Options, seed uint64) (Result, error) {
	s, err := o.Open(o.Shape)
	if err != nil {
		return Result{}, err
	}
	defer s.Close()
	r := newRun(newPlan(seed, o.Shape, o.LoadDuration, o.Only), s)
	if err := r.execute(ctx); err != nil {
		return Result{}, fmt.Errorf("seed %d: %w", seed, err)
	}
	res := r.result()
	fmt.Fprintln(o.Out, res)
	for _, v := range res.Violations {
		fmt.Fprintf(o.Out, "  %6.2fs %s: %s %s\n", v.At.Sub(r.startedAt).Seconds(), v.Promise, v.Request, v.Detail)
	}
	if o.Dir == "" || len(res.Violations) == 0 {
		return res, nil
	}
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	fmt.Fprintln(o.Out, "  report:", dir)
	return res, r.writeReport(dir, res)
}
