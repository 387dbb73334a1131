package ranklink

import (
	"strconv"
	"strings"
	"time"

	"github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/agent/rank"
	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/settings"
	"github.com/siskinford/siskinford/core/timeline"
)

// Config describes the ranks of one host.
type Config struct {
	// Group is the group of the ranks. Default: none, and no ranks.
	Group id.Group
	// Ranks are the indices of the ranks in the group, separated by commas.
	Ranks string
	// URLs are the base URLs of the ranks' engines in the same order, separated by commas.
	URLs string
	// Tick is the interval at which the engines are reconciled. Default: 100 ms.
	Tick time.Duration
	// EngineTimeout bounds all engine calls of one tick or order. Default: 1 s.
	EngineTimeout time.Duration
	// LoadInterval is the time between reports of the experts' loads. Default: 30 s.
	LoadInterval time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{Tick: 100 * time.Millisecond, EngineTimeout: time.Second, LoadInterval: 30 * time.Second}
}

// Register registers the settings, with the values of c as defaults.
func (c *Config) Register(s *settings.Set) {
	settings.Text(s, &c.Group, "group", "Group of the ranks on this host; empty means none")
	s.String(&c.Ranks, "ranks", "Indices of the ranks on this host, separated by commas")
	s.String(&c.URLs, "rank-urls", "Base URLs of the ranks' engines in the order of --ranks, separated by commas")
	s.Duration(&c.Tick, "rank-tick", "Time between readings of the ranks' engines")
	s.Duration(&c.EngineTimeout, "rank-engine-timeout", "Time after which an engine of a rank counts as silent")
	s.Duration(&c.LoadInterval, "rank-load-interval", "Time between reports of the experts' loads")
}

// Validate reports all values out of range.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.Group == "" {
		if c.Ranks != "" || c.URLs != "" {
			l.Addf("group", "is not set, but --ranks or --rank-urls is")
		}
		return l
	}
	ranks, urls := splitList(c.Ranks), splitList(c.URLs)
	if len(ranks) == 0 {
		l.Addf("ranks", "is not set")
	}
	if len(urls) != len(ranks) {
		l.Addf("rank-urls", "%d URLs are given for %d ranks", len(urls), len(ranks))
	}
	seen := map[int]bool{}
	for _, text := range ranks {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			l.Addf("ranks", "%q is not a rank", text)
			continue
		}
		if seen[n] {
			l.Addf("ranks", "rank %d is given twice", n)
		}
		seen[n] = true
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"rank-tick", c.Tick}, {"rank-engine-timeout", c.EngineTimeout}, {"rank-load-interval", c.LoadInterval}} {
		if d.value <= 0 {
			l.Addf(d.name, "duration %v is not positive", d.value)
		}
	}
	return l
}

func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// LocalRanks returns the configured ranks with clients of their engines. The
// configuration must be valid.
func (c Config) LocalRanks() ([]rank.LocalRank, error) {
	urls := splitList(c.URLs)
	var out []rank.LocalRank
	for i, text := range splitList(c.Ranks) {
		index, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		e, err := engine.NewRankClient(engine.Config{URL: urls[i], CallTimeout: c.EngineTimeout})
		if err != nil {
			return nil, err
		}
		out = append(out, rank.LocalRank{Index: index, Engine: e})
	}
	return out, nil
}

// loadTicks returns the number of ticks between two load reports.
func (c Config) loadTicks() int { return max(1, int(c.LoadInterval/c.Tick)) }

// Open returns a runner of the configured ranks, with an HTTP client for each engine.
// The configuration must be valid.
func Open(c Config, inc id.Incarnation, r timeline.Recorder) (*Runner, error) {
	locals, err := c.LocalRanks()
	if err != nil {
		return nil, err
	}
	return New(c, rank.Config{
		Group: c.Group, Incarnation: inc, Ranks: locals, LoadTicks: c.loadTicks(), Recorder: r,
	}), nil
}
