// Package caller is the HTTP API for callers: chat completions, the list of
// models, plain services and tickets.
package caller

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config bounds what callers may send.
type Config struct {
	// MaxBodyBytes bounds the body of a request. Default: 1 MiB.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the header of a request. Default: 32 KiB.
	MaxHeaderBytes int
	// MaxTokens bounds the answer of a chat completion. Default: 8,192.
	MaxTokens int
	// DefaultMaxTokens is the bound of an answer whose caller gives none. Default: 256.
	DefaultMaxTokens int
	// LongRequestTokens is the predicted work in tokens from which a request counts as long. Default: 2,000.
	LongRequestTokens uint32
	// ReadTimeout bounds the time in which a caller sends its request. Default: 10 s.
	ReadTimeout time.Duration
}

// DefaultConfig returns the defaults.
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
		l.Addf("max-tokens", "%d is below the %d tokens of an answer without a limit of its own", c.MaxTokens, c.DefaultMaxTokens)
	}
	if c.ReadTimeout <= 0 {
		l.Addf("read-timeout", "duration %v is not positive", c.ReadTimeout)
	}
	return l
}
