package expertmaps

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
)

// invalidLogInterval is the minimum time between log lines about invalid answers.
const invalidLogInterval = time.Second

// mapAnswer is a map that the layouts of all ranks add up to. Package ranklink has the other kinds.
const mapAnswer ranklink.AnswerKind = "map"

// invalidAnswers counts and logs the answers of a group's ranks that are not used. It is safe for
// concurrent use.
type invalidAnswers struct {
	group id.Group
	log   zerolog.Logger
	set   *metrics.Set

	mu sync.Mutex // leaf lock
	// unlogged counts the answers since loggedAt.
	unlogged int
	loggedAt time.Time
}

func (a *invalidAnswers) add(l *ranklink.Link, kind ranklink.AnswerKind, err error) {
	a.set.GetOrCreateCounter(fmt.Sprintf("siskinford_rank_answers_invalid_total{group=%q,kind=%q}", string(a.group), string(kind))).Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.Sub(a.loggedAt) < invalidLogInterval {
		a.unlogged++
		return
	}
	a.loggedAt = now
	e := a.log.Warn().Err(err).Str("event", "rank.answer_invalid").Str("kind", string(kind)).Int("others", a.unlogged)
	if l != nil {
		e = e.Str("endpoint", string(l.Endpoint().Name))
	}
	e.Msg("a rank's answer is not used")
	a.unlogged = 0
}
