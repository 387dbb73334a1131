// Package ranks is a stand-in for the engines of one group of ranks that run in
// lock-step. It keeps a record of the expert map that each rank used in each
// step. It answers no completions.
package ranks

import "time"

const (
	defaultStepTime  = 5 * time.Millisecond
	defaultTokens    = 4096
	defaultExponent  = 1.0
	defaultStageTime = 50 * time.Millisecond
	defaultTokenTime = 200 * time.Nanosecond
	defaultKeep      = 4096
)

// Config sets up a Group.
type Config struct {
	// Size is the number of ranks. It has no default.
	Size int
	// Layers and Experts describe the model. They have no default.
	Layers, Experts int
	// StepTime is the time of a step without tokens. Default 5 ms.
	StepTime time.Duration
	// TokenTime is added to a rank's step for each token of its experts. Default 200 ns.
	TokenTime time.Duration
	// Jitter is the longest random delay before a rank begins a step. Default 0.
	Jitter time.Duration
	// StageTime is the time in which a rank loads the weights of a map. Default 50 ms.
	StageTime time.Duration
	// TokensPerLayer is the number of tokens of a layer in each step. Default 4,096.
	TokensPerLayer float64
	// ZipfExponent is that of the Zipf distribution of the experts' popularity. Default 1.
	ZipfExponent float64
	// DriftInterval is the time between changes of the popularity. Zero means none.
	DriftInterval time.Duration
	// Fencing refuses orders with an old fencing number. Default off.
	Fencing bool
	// MaxRecords is the number of steps whose record is kept. Default 4,096.
	MaxRecords int
	// Seed determines popularity and delays.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.StepTime, defaultStepTime)
	setDefault(&c.TokenTime, defaultTokenTime)
	setDefault(&c.StageTime, defaultStageTime)
	setDefault(&c.TokensPerLayer, defaultTokens)
	setDefault(&c.ZipfExponent, defaultExponent)
	setDefault(&c.MaxRecords, defaultKeep)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
