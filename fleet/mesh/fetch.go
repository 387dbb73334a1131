package mesh

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
)

const (
	// fetchHedgeDelay is the time after which a fetch without an answer is also sent to the
	// next source. A round trip between zones takes a few milliseconds.
	fetchHedgeDelay = 100 * time.Millisecond
	// minFetchInterval is the minimum time between two looks for newer versions.
	minFetchInterval = 5 * time.Millisecond
	// fetchRetryMin and fetchRetryMax bound the delay between attempts, which doubles while
	// none succeeds.
	fetchRetryMin = 100 * time.Millisecond
	fetchRetryMax = 2 * time.Second
)

var errNothingNewer = errors.New("the member sent nothing newer")

// source is a member that has a newer version of a topic.
type source struct {
	host    id.Host
	address string
	version uint64
	// failedAt is the time of the last failed fetch from it.
	failedAt time.Time
}

// sources returns the alive members with a version of a topic above have: those from which
// no fetch failed first, then the least recently failed, and the greatest version first among
// equals. The caller holds mu.
func (m *Mesh) sources(topic Topic, have uint64, now time.Time) []source {
	var out []source
	for host, p := range m.peers {
		if v := p.versions[topic]; v > have && now.Sub(p.lastSeen) < m.aliveTimeout() {
			out = append(out, source{host: host, address: p.member.Address, version: v, failedAt: p.fetchFailedAt})
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b source) int {
		return cmp.Or(a.failedAt.Compare(b.failedAt), cmp.Compare(b.version, a.version))
	})
	return out
}

// signalNewer makes runFetches look for newer versions. It does not block.
func (m *Mesh) signalNewer() {
	select {
	case m.newer <- struct{}{}:
	default:
	}
}

// runFetches fetches newer versions as soon as a member announces them, until ctx ends. In
// a large fleet the next exchange round may be seconds away.
func (m *Mesh) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.newer:
		}
		if m.fetchNewer(ctx, time.Now()) {
			time.AfterFunc(m.cfg.FetchDelay, m.signalNewer)
		}
		sleep(ctx, minFetchInterval)
	}
}

// fetchNewer starts to fetch the topics of which an alive member has a greater version. A
// reader first gives its own watch FetchDelay to return it; fetchNewer reports whether it does.
func (m *Mesh) fetchNewer(ctx context.Context, now time.Time) (deferred bool) {
	own := m.versions()
	grace := m.cfg.FetchDelay
	if !m.IsReader() {
		grace = 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for topic, have := range own {
		if len(m.sources(topic, have, now)) == 0 {
			delete(m.behindSince, topic)
			continue
		}
		since, ok := m.behindSince[topic]
		if !ok {
			m.behindSince[topic] = now
			since = now
		}
		// An entry without any version fetches at once.
		watched := topic == topicMembers || m.opt.Watched[topic]
		if watched && now.Sub(since) < grace && have != 0 {
			deferred = true
			continue
		}
		if m.fetching[topic] {
			continue
		}
		m.fetching[topic] = true
		go m.catchUp(ctx, topic, since)
	}
	return deferred
}

// catchUp fetches a topic until no alive member is known to have a greater version. The time
// that it takes does not depend on the exchange interval, which grows with the fleet.
func (m *Mesh) catchUp(ctx context.Context, topic Topic, since time.Time) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.fetching, topic)
	}()
	delay := fetchRetryMin
	for ctx.Err() == nil {
		have, ok := m.versions()[topic]
		m.mu.Lock()
		list := m.sources(topic, have, time.Now())
		m.mu.Unlock()
		if !ok || len(list) == 0 {
			return
		}
		if m.fetchFromAny(ctx, topic, have, list, since) {
			delay = fetchRetryMin
			continue
		}
		sleep(ctx, delay)
		delay = min(2*delay, fetchRetryMax)
	}
}

// fetchFromAny fetches a topic from the first source that answers, and reports whether that
// brought a newer version into force.
func (m *Mesh) fetchFromAny(ctx context.Context, topic Topic, have uint64, list []source, since time.Time) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(list))
	next, pending := 0, 0
	start := func() {
		from := list[next]
		next, pending = next+1, pending+1
		go func() { results <- m.fetchFrom(ctx, topic, have, from, since) }()
	}
	start()
	hedge := time.NewTicker(fetchHedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case done := <-results:
			if done {
				return true
			}
			if pending--; next < len(list) {
				start()
			} else if pending == 0 {
				return false
			}
		case <-hedge.C:
			if next < len(list) {
				start()
			}
		}
	}
}

// fetchFrom fetches a topic from one member and applies it.
func (m *Mesh) fetchFrom(ctx context.Context, topic Topic, have uint64, from source, since time.Time) bool {
	call, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	v, err := m.requestValue(call, fetchRequest{Topic: topic, Have: have}, from.address)
	if ctx.Err() != nil {
		return false // Another source was faster.
	}
	if err != nil && call.Err() != nil {
		m.opt.Caller.Abandon(from.address) // The connection may be half-open.
	}
	if err == nil && v.Version > have {
		m.applyValue(topic, v)
	}
	after := m.versions()[topic]
	if err == nil && after <= have {
		err = errNothingNewer
	}
	if err != nil {
		m.recordFetchFailure(from.host)
	}
	m.opt.Log.Info().Err(err).Str("event", "value.fetched").Str("topic", string(topic)).Str("from", from.address).
		Uint64("have", have).Uint64("offered", from.version).Uint64("version", v.Version).Int("bytes", len(v.Data)).
		Dur("behind_for", time.Since(since)).Msg("fetch of a newer version from another member")
	return err == nil
}

func (m *Mesh) recordFetchFailure(host id.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[host]; p != nil {
		p.fetchFailedAt = time.Now()
	}
}

func (m *Mesh) requestValue(ctx context.Context, w fetchRequest, address string) (Value, error) {
	payload, err := cbor.Marshal(message{Fetch: &w})
	if err != nil {
		return Value{}, err
	}
	reply, err := m.opt.Caller.Call(ctx, address, payload)
	if err != nil {
		return Value{}, err
	}
	var a response
	if err := cbor.Unmarshal(reply, &a); err != nil {
		return Value{}, err
	}
	return Value{Version: a.Version, Data: a.Data}, nil
}
