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
	// logQueueLines is the capacity of the queue to the output, 800 KB at 400 bytes a line.
	logQueueLines = 2048
	// logPollInterval is the longest delay of a line while the output keeps up.
	logPollInterval = 20 * time.Millisecond
	// closeTimeout bounds how long Close waits for the output. It is many times
	// logPollInterval, and short against the shutdown timeout of a process.
	closeTimeout = time.Second
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// Fractions of a second allow lines of several processes to be sorted by time.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// LogConfig configures a BoundedLog.
type LogConfig struct {
	Program, Host string
	// Level is the lowest level that is written.
	Level zerolog.Level
	// LinesPerSecond limits the rate of lines below level warn. Zero means no limit.
	LinesPerSecond int
}

// BoundedLog is a logger of JSON lines that never blocks: lines that overflow the queue
// or exceed the rate limit are dropped and counted.
type BoundedLog struct {
	zerolog.Logger
	out     diode.Writer
	cfg     LogConfig
	dropped *metrics.Counter
	// enqueued and completed count the lines passed to out and those it wrote or dropped.
	enqueued, completed atomic.Int64

	mu              sync.Mutex // leaf lock
	windowStart     time.Time
	windowLines     int
	unreportedDrops int
	lastDropReport  time.Time
}

// NewBoundedLog returns a log that writes to w. Close must be called.
func NewBoundedLog(w io.Writer, cfg LogConfig, set *metrics.Set) *BoundedLog {
	l := &BoundedLog{cfg: cfg, dropped: set.GetOrCreateCounter("siskinford_log_lines_dropped_total")}
	l.out = diode.NewWriter(countingWriter{w, &l.completed}, logQueueLines, logPollInterval, l.recordDrops)
	l.Logger = zerolog.New(l).Level(cfg.Level).With().Timestamp().Str("program", cfg.Program).Str("host", cfg.Host).Logger()
	return l
}

// countingWriter counts the lines written.
type countingWriter struct {
	io.Writer
	lines *atomic.Int64
}

// Write implements io.Writer.
func (c countingWriter) Write(p []byte) (int, error) {
	defer c.lines.Add(1)
	return c.Writer.Write(p)
}

// enqueue passes a line to the queue without blocking.
func (l *BoundedLog) enqueue(p []byte) (int, error) {
	l.enqueued.Add(1)
	return l.out.Write(p)
}

// recordDrops counts n lines that overflowed the queue.
func (l *BoundedLog) recordDrops(n int) {
	l.dropped.Add(n)
	l.completed.Add(int64(n))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreportedDrops += n
}

// Write implements io.Writer.
func (l *BoundedLog) Write(p []byte) (int, error) { return l.enqueue(p) }

// WriteLevel implements zerolog.LevelWriter.
func (l *BoundedLog) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	ok, dropped := l.allow(level, time.Now())
	if dropped > 0 {
		l.Logger.Warn().Str("event", "log.dropped").Int("lines", dropped).Msg("log lines were dropped by the rate limit or a full queue")
	}
	if !ok {
		l.dropped.Inc()
		return len(p), nil
	}
	return l.enqueue(p)
}

// allow reports whether a line is within the rate limit. If a report of drops is due,
// dropped is the number of lines dropped since the last one.
func (l *BoundedLog) allow(level zerolog.Level, now time.Time) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.windowLines = now, 0
	}
	l.windowLines++
	ok = level >= zerolog.WarnLevel || l.cfg.LinesPerSecond == 0 || l.windowLines <= l.cfg.LinesPerSecond
	if !ok {
		l.unreportedDrops++
	}
	if l.unreportedDrops > 0 && now.Sub(l.lastDropReport) >= dropReportInterval {
		dropped, l.unreportedDrops, l.lastDropReport = l.unreportedDrops, 0, now
	}
	return ok, dropped
}

// Close writes the queued lines and ends the log. It waits up to closeTimeout.
func (l *BoundedLog) Close() error {
	// diode.Writer.Close loses a line queued after its last poll.
	for deadline := time.Now().Add(closeTimeout); l.completed.Load() < l.enqueued.Load() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return l.out.Close()
}
