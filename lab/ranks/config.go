// Package ranks simulates the engines of one group of lock-step ranks and records
// the expert map that each rank used in each step. It serves no completions.
package ranks

import "time"

const (
	defaultStepTime   = 5 * time.Millisecond
	defaultTokens     = 4096
	defaultExponent   = 1.0
	defaultStageTime  = 50 * time.Millisecond
	defaultTokenTime  = 200 * time.Nanosecond
	defaultMaxRecords = 4096
)

// Config configures a Group.
type Config struct {
	// Size is the number of ranks. Required.
	Size int
	// Layers and Experts (per layer) are the dimensions of the model. Required.
	Layers, Experts int
	// StepTime is the duration of a step without tokens. Default 5 ms.
	StepTime time.Duration
	// TokenTime is added to a rank's step per token routed to it. Default 200 ns.
	TokenTime time.Duration
	// Jitter bounds the random delay between steps of a rank. Default 0.
	Jitter time.Duration
	// StageTime is the time to load the weights of a map. Default 50 ms.
	StageTime time.Duration
	// TokensPerLayer is the number of tokens per layer and step. Default 4,096.
	TokensPerLayer float64
	// ZipfExponent is the exponent of the experts' popularity distribution. Default 1.
	ZipfExponent float64
	// DriftInterval is the interval between popularity changes. Zero disables them.
	DriftInterval time.Duration
	// Fencing rejects orders with a stale fencing token. Default off.
	Fencing bool
	// MaxRecords is the minimum number of retained step records. Default 4,096.
	MaxRecords int
	// Seed seeds popularity and jitter.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.StepTime, defaultStepTime)
	setDefault(&c.TokenTime, defaultTokenTime)
	setDefault(&c.StageTime, defaultStageTime)
	setDefault(&c.TokensPerLayer, defaultTokens)
	setDefault(&c.ZipfExponent, defaultExponent)
	setDefault(&c.MaxRecords, defaultMaxRecords)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
