package process

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// blockableWriter blocks while mu is held.
type blockableWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *blockableWriter) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *blockableWriter) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

func TestBoundedLogWritesJSONLines(t *testing.T) {
	var out blockableWriter
	l := NewBoundedLog(&out, LogConfig{Program: "p", Host: "h", Level: zerolog.InfoLevel}, metrics.NewSet())
	l.Debug().Msg("below the level")
	l.Info().Str("event", "e").Msg("written")
	assert.NilError(t, l.Close())
	var line map[string]any
	assert.NilError(t, json.Unmarshal([]byte(out.text()), &line))
	assert.Equal(t, line["event"], "e")
	assert.Equal(t, line["host"], "h")
}

func TestBoundedLogDropsLinesOverRateLimit(t *testing.T) {
	var out blockableWriter
	set := metrics.NewSet()
	l := NewBoundedLog(&out, LogConfig{LinesPerSecond: 10}, set)
	for range 100 {
		l.Info().Msg("many")
	}
	l.Warn().Msg("always")
	assert.NilError(t, l.Close())
	assert.Equal(t, strings.Count(out.text(), "many"), 10)
	assert.Equal(t, strings.Count(out.text(), "always"), 1)
	assert.Assert(t, strings.Contains(out.text(), "log.dropped"))
	assert.Equal(t, set.GetOrCreateCounter("siskinford_log_lines_dropped_total").Get(), uint64(90))
}

func TestBoundedLogNeverBlocks(t *testing.T) {
	var out blockableWriter
	set := metrics.NewSet()
	l := NewBoundedLog(&out, LogConfig{}, set)
	out.mu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * logQueueLines {
			l.Info().Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks on the output")
	}
	out.mu.Unlock()
	assert.NilError(t, l.Close())
	assert.Assert(t, set.GetOrCreateCounter("siskinford_log_lines_dropped_total").Get() > 0)
}

// TestCloseWritesQueuedLines: the last lines before a stop, which explain it, must not be lost.
func TestCloseWritesQueuedLines(t *testing.T) {
	for range 200 {
		var out blockableWriter
		l := NewBoundedLog(&out, LogConfig{Level: zerolog.InfoLevel}, metrics.NewSet())
		l.Info().Msg("last")
		assert.NilError(t, l.Close())
		assert.Equal(t, strings.Count(out.text(), "last"), 1)
	}
}
