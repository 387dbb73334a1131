package process

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logQueue is the number of lines that wait for the output. At 400 bytes a
	// line it holds 800 KB.
	logQueue = 2048
	// logPoll is the longest time for which a line waits while the output keeps up.
	logPoll = 20 * time.Millisecond
	// closeWait bounds the time for which Close waits for the output. It is many times
	// logPoll, and short against the time that a process has to stop.
	closeWait = time.Second
	// dropNotice is the least time between two lines about dropped lines.
	dropNotice = time.Second
)

// Times with fractions of a second order the lines of several processes.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// LogConfig sets up a log that never blocks.
type LogConfig struct {
	Program, Host string
	// Level is the least level that is written.
	Level zerolog.Level
	// LinesPerSecond bounds the lines below level warn. Zero means no bound.
	LinesPerSecond int
}

// BoundedLog is a log of JSON lines that never blocks: lines that the output does
// not take in time, and lines beyond a rate, are dropped and counted.
type BoundedLog struct {
	zerolog.Logger
	out     diode.Writer
	cfg     LogConfig
	dropped *metrics.Counter
	// queued and left count the lines that were given to out, and those that have
	// left it, written or dropped.
	queued, left atomic.Int64

	mu      sync.Mutex // leaf lock
	second  time.Time
	lines   int
	missed  int
	noticed time.Time
}

// NewBoundedLog returns a log that writes to w. Close must be called.
func NewBoundedLog(w io.Writer, cfg LogConfig, set *metrics.Set) *BoundedLog {
	l := &BoundedLog{cfg: cfg, dropped: set.GetOrCreateCounter("siskinford_log_lines_dropped_total")}
	l.out = diode.NewWriter(counted{w, &l.left}, logQueue, logPoll, l.miss)
	l.Logger = zerolog.New(l).Level(cfg.Level).With().Timestamp().Str("program", cfg.Program).Str("host", cfg.Host).Logger()
	return l
}

// counted counts the lines that are written.
type counted struct {
	io.Writer
	lines *atomic.Int64
}

// Write implements io.Writer.
func (c counted) Write(p []byte) (int, error) {
	defer c.lines.Add(1)
	return c.Writer.Write(p)
}

// queue gives a line to the output without waiting for it.
func (l *BoundedLog) queue(p []byte) (int, error) {
	l.queued.Add(1)
	return l.out.Write(p)
}

// miss counts lines that the output did not take.
func (l *BoundedLog) miss(n int) {
	l.dropped.Add(n)
	l.left.Add(int64(n))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missed += n
}

// Write implements io.Writer.
func (l *BoundedLog) Write(p []byte) (int, error) { return l.queue(p) }

// WriteLevel implements zerolog.LevelWriter.
func (l *BoundedLog) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	ok, notice := l.admit(level, time.Now())
	if notice > 0 {
		l.Logger.Warn().Str("event", "log.dropped").Int("lines", notice).Msg("lines were dropped to bound the log")
	}
	if !ok {
		l.dropped.Inc()
		return len(p), nil
	}
	return l.queue(p)
}

// admit reports whether a line is within the rate, and the number of dropped
// lines to tell about.
func (l *BoundedLog) admit(level zerolog.Level, now time.Time) (ok bool, notice int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	l.lines++
	ok = level >= zerolog.WarnLevel || l.cfg.LinesPerSecond == 0 || l.lines <= l.cfg.LinesPerSecond
	if !ok {
		l.missed++
	}
	if l.missed > 0 && now.Sub(l.noticed) >= dropNotice {
		notice, l.missed, l.noticed = l.missed, 0, now
	}
	return ok, notice
}

// Close writes what waits and ends the log. It waits for the output for a bounded time.
func (l *BoundedLog) Close() error {
	// The queue's own Close loses a line that came between its last look and the end.
	for end := time.Now().Add(closeWait); l.left.Load() < l.queued.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return l.out.Close()
}
