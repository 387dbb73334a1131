// Package engine is a stand-in for a model engine: continuous batching in
// steps, a limited prefix cache, priorities, cancel, pause and resume, lagging
// load reports, late cache events with gaps, orders and lock-step ranks. It
// computes no model: each token is a hash of the prompt and its index.
package engine

import "time"

const (
	defaultSlots       = 16
	defaultMaxWaiting  = 1024
	defaultCacheBlocks = 4096
	defaultMaxTokens   = 16
	defaultEventBuffer = 4096
	defaultMaxRuns     = 1 << 20
	maxTokensLimit     = 1 << 16
	maxBodyBytes       = 4 << 20
	maxEventsPerCall   = 1024
)

// Config sets up an Engine. The zero value is usable.
type Config struct {
	// Model is loaded at the start. Requests for a model that is not loaded are
	// refused. An empty name accepts all.
	Model string
	// StepTime is the time of an empty step. Zero means as fast as possible.
	StepTime time.Duration
	// SequenceTime is added to a step for each running sequence.
	SequenceTime time.Duration
	// PrefillTime is added to a step for each prompt token that is not cached.
	PrefillTime time.Duration
	// Slots is the number of sequences that run at the same time. Default 16.
	Slots int
	// MaxWaiting bounds the waiting sequences. Default 1024.
	MaxWaiting int
	// BlockWords is the number of prompt words in a cache block. Default 16.
	BlockWords int
	// CacheBlocks bounds the prefix cache. Default 4096 blocks.
	CacheBlocks int
	// LoadLag is the least age of load reports. Default 0.
	LoadLag time.Duration
	// EventDelay is the time until a cache event is published. Default 0.
	EventDelay time.Duration
	// EventLoss is the share of cache events that is lost, from 0 to 1. Default 0.
	EventLoss float64
	// EventBuffer bounds the cache events that are kept. Default 4096.
	EventBuffer int
	// MaxTrackedAttempts bounds the attempts counted as witness. Default 1,048,576.
	MaxTrackedAttempts int
	// Fencing refuses orders and completions with an old epoch. Default off.
	Fencing bool
	// RequirePermits makes each step wait for a permit by OrderSteps. Default off.
	RequirePermits bool
	// Group joins the engine to ranks that run in lock-step. Default none.
	Group *Group
	// Rank is the index of the engine in its Group.
	Rank int
	// Seed determines which cache events are lost.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.MaxWaiting, defaultMaxWaiting)
	setDefault(&c.BlockWords, defaultBlockWords)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	setDefault(&c.EventBuffer, defaultEventBuffer)
	setDefault(&c.MaxTrackedAttempts, defaultMaxRuns)
	return c
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
