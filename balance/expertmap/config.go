package expertmap

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config describes one layer of a group and the cost of a change.
type Config struct {
	// Ranks is the number of ranks of the group. It has no default.
	Ranks int
	// Experts is the number of experts of the layer. It has no default.
	Experts int
	// SlotsPerRank is the number of experts that a rank can hold. It has no default.
	SlotsPerRank int
	// ExpertBytes is the size of one expert's weights in bytes. Default 44,040,192.
	ExpertBytes int64
	// RankBandwidth is the rate in bytes per second at which one rank sends or
	// receives weights. Default 1,000,000,000.
	RankBandwidth float64
	// StoreBandwidth is the rate in bytes per second of the weight store for the
	// whole group. Default 200,000,000.
	StoreBandwidth float64
	// TokenTime is the time per token of the layer on one rank. Default 200 ns.
	TokenTime time.Duration
	// StepTime is the duration of one step of the whole model. Default 33 ms.
	StepTime time.Duration
	// Horizon is the time over which a change has to pay off. Default 5 minutes.
	Horizon time.Duration
	// TransferSlowdown is the fraction by which steps slow down during transfers. Default 0.1.
	TransferSlowdown float64
	// SwitchTime is the layer's share of the time for which a switch stops the group. Default 1 ms.
	SwitchTime time.Duration
	// TargetSkew is the skew at which no further experts are moved. Default 1.04.
	TargetSkew float64
}

const (
	defaultExpertBytes      = 44_040_192
	defaultRankBandwidth    = 1e9
	defaultStoreBandwidth   = 2e8
	defaultTokenTime        = 200 * time.Nanosecond
	defaultStepTime         = 33 * time.Millisecond
	defaultHorizon          = 5 * time.Minute
	defaultTransferSlowdown = 0.1
	defaultSwitchTime       = time.Millisecond
	defaultTargetSkew       = 1.04
)

// WithDefaults returns c with defaults in place of zero values.
func (c Config) WithDefaults() Config {
	setDefault(&c.ExpertBytes, defaultExpertBytes)
	setDefault(&c.RankBandwidth, defaultRankBandwidth)
	setDefault(&c.StoreBandwidth, defaultStoreBandwidth)
	setDefault(&c.TokenTime, defaultTokenTime)
	setDefault(&c.StepTime, defaultStepTime)
	setDefault(&c.Horizon, defaultHorizon)
	setDefault(&c.TransferSlowdown, defaultTransferSlowdown)
	setDefault(&c.SwitchTime, defaultSwitchTime)
	setDefault(&c.TargetSkew, defaultTargetSkew)
	return c
}

func setDefault[T int64 | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Validate reports all settings out of range.
func (c Config) Validate() error {
	var found finding.List
	if c.Ranks < 1 {
		found.Addf("ranks", "%d is less than 1", c.Ranks)
	}
	if c.Experts < 1 {
		found.Addf("experts", "%d is less than 1", c.Experts)
	}
	if c.Ranks*c.SlotsPerRank < c.Experts {
		found.Addf("slots_per_rank", "%d slots on %d ranks cannot hold %d experts", c.SlotsPerRank, c.Ranks, c.Experts)
	}
	if c.SlotsPerRank > c.Experts {
		found.Addf("slots_per_rank", "%d is more than %d experts", c.SlotsPerRank, c.Experts)
	}
	if c.ExpertBytes < 0 || c.RankBandwidth < 0 || c.StoreBandwidth < 0 {
		found.Addf("bandwidth", "sizes and rates must not be negative")
	}
	if c.TokenTime < 0 || c.StepTime < 0 || c.Horizon < 0 || c.SwitchTime < 0 || c.TransferSlowdown < 0 {
		found.Addf("horizon", "times and slowdown must not be negative")
	}
	if c.TargetSkew != 0 && c.TargetSkew < 1 {
		found.Addf("target_skew", "%g is less than 1", c.TargetSkew)
	}
	return found.Err()
}
