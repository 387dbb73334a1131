package slopes

import (
	"context"
	"fmt"
	"runtime"
)

// Run runs all measurements. It blocks for several minutes with Default.
func Run(ctx context.Context, c Config) (Result, error) {
	if err := c.Validate(); err != nil {
		return Result{}, err
	}
	r := Result{Seed: c.Seed, Processors: runtime.GOMAXPROCS(0)}
	for _, s := range steps() {
		if err := s.run(ctx, c, &r); err != nil {
			return r, fmt.Errorf("measure %s: %w", s.name, err)
		}
	}
	return r, ctx.Err()
}

// step measures one part of a Result.
type step struct {
	name string
	run  func(context.Context, Config, *Result) error
}

func steps() []step {
	return []step{
		{"memory", measureMemory},
		{"sizes", measureSizes},
		{"apply", measureApply},
		{"wire", measureWire},
		{"membership", measureMembership},
		{"spread", measurePropagation},
		{"notice", measureDetection},
		{"outage", measureOutage},
	}
}
