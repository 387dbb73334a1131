// Package engine simulates a model engine for tests: continuous batching, a
// bounded prefix cache, priorities, cancel, pause and resume, stale load reports,
// delayed and lossy cache events, orders and lock-step ranks. It runs no model:
// each token is a hash of the prompt and its index.
package engine

import "time"

const (
	defaultSlots              = 16
	defaultMaxWaiting         = 1024
	defaultCacheBlocks        = 4096
	defaultMaxTokens          = 16
	defaultEventBuffer        = 4096
	defaultMaxTrackedAttempts = 1 << 20
	maxTokensLimit            = 1 << 16
	maxBodyBytes              = 4 << 20
	maxEventsPerCall          = 1024
)

// Config configures an Engine. The zero value is usable.
type Config struct {
	// Model is loaded at the start; requests for other models are rejected. If it
	// is empty, any model is accepted until an order loads one.
	Model string
	// StepTime is the duration of an empty step. Zero adds no delay.
	StepTime time.Duration
	// SequenceTime is added to a step for each running sequence.
	SequenceTime time.Duration
	// PrefillTime is added to a step for each uncached prompt token.
	PrefillTime time.Duration
	// Slots is the maximum number of concurrently running sequences. Default 16.
	Slots int
	// MaxWaiting bounds the waiting sequences. Default 1024.
	MaxWaiting int
	// BlockWords is the number of prompt words in a cache block. Default 16.
	BlockWords int
	// CacheBlocks bounds the prefix cache. Default 4096 blocks.
	CacheBlocks int
	// LoadLag is the minimum age of load reports. Default 0.
	LoadLag time.Duration
	// EventDelay is the delay before a cache event is published. Default 0.
	EventDelay time.Duration
	// EventLoss is the fraction of cache events that is lost, from 0 to 1. Default 0.
	EventLoss float64
	// EventBuffer bounds the retained cache events. Default 4096.
	EventBuffer int
	// MaxTrackedAttempts bounds the attempts with statistics. Default 1,048,576.
	MaxTrackedAttempts int
	// Fencing rejects orders and completions with a stale epoch. Default off.
	Fencing bool
	// RequirePermits makes each step wait for a permit, granted by OrderSteps. Default off.
	RequirePermits bool
	// Group is the lock-step group that the engine belongs to. Default none.
	Group *Group
	// Rank is the index of the engine in Group.
	Rank int
	// Seed seeds the choice of lost cache events.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.MaxWaiting, defaultMaxWaiting)
	setDefault(&c.BlockWords, defaultBlockWords)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	setDefault(&c.EventBuffer, defaultEventBuffer)
	setDefault(&c.MaxTrackedAttempts, defaultMaxTrackedAttempts)
	return c
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
