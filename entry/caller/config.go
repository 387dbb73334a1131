// Package caller implements the HTTP API for callers, the clients that send requests:
// chat completions, the list of models, plain services and tickets.
package caller

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config limits the requests of callers.
type Config struct {
	// MaxBodyBytes bounds the request body. Default: 1 MiB.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the request header. Default: 32 KiB.
	MaxHeaderBytes int
	// MaxTokens is the largest max_tokens that a request may set. Default: 8,192.
	MaxTokens int
	// DefaultMaxTokens applies to requests without max_tokens. Default: 256.
	DefaultMaxTokens int
	// LongRequestTokens is the predicted work from which a request counts as long. Default: 2,000.
	LongRequestTokens uint32
	// ReadTimeout bounds reading a request. Default: 10 s.
	ReadTimeout time.Duration
}

func DefaultConfig() Config {
	return Config{
		MaxBodyBytes:      1 << 20,
		MaxHeaderBytes:    32 << 10,
		MaxTokens:         8192,
		DefaultMaxTokens:  256,
		LongRequestTokens: 2000,
		ReadTimeout:       10 * time.Second,
	}
}

// Validate reports all values out of range.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.MaxBodyBytes <= 0 {
		l.Addf("max-body-bytes", "%d is not positive", c.MaxBodyBytes)
	}
	if c.MaxHeaderBytes <= 0 {
		l.Addf("max-header-bytes", "%d is not positive", c.MaxHeaderBytes)
	}
	if c.DefaultMaxTokens <= 0 {
		l.Addf("default-tokens", "%d is not positive", c.DefaultMaxTokens)
	}
	if c.MaxTokens < max(c.DefaultMaxTokens, 1) {
		l.Addf("max-tokens", "%d is below the default of %d tokens", c.MaxTokens, c.DefaultMaxTokens)
	}
	if c.ReadTimeout <= 0 {
		l.Addf("read-timeout", "duration %v is not positive", c.ReadTimeout)
	}
	return l
}
