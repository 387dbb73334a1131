package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/bounded"
	"github.com/siskinford/siskinford/core/id"
)

// Event is a change of a part's record, for logs and counters.
type Event struct {
	Kind   Kind
	Record Record
	// Request is the request behind a local change, empty if unknown.
	Request id.Request
	// Learned is true if the change was learned from another entry.
	Learned bool
	// Answers is the number of answers with the part since the last end blamed on it.
	Answers int
}

// Kind is the kind of an event.
type Kind string

const (
	KindBlamed    Kind = "blamed"
	KindCleared   Kind = "cleared"
	KindClaimed   Kind = "claimed"
	KindTried     Kind = "tried"
	KindReleased  Kind = "released"
	KindForgotten Kind = "forgotten"
)

// Table holds what one entry knows of the parts of one service's prompts. It is not safe for
// concurrent use.
type Table struct {
	cfg  Config
	self id.Host
	// onEvent receives all changes; it must not call the table.
	onEvent func(Event)
	records map[id.Part]*Record
	// counts are those of the answers with each part, recent counts all answers.
	counts *bounded.Map[id.Part, partCounts]
	recent recentCount
	// ends are the last ends at which requests of this entry were lost, oldest first, and endsWith the number of them
	// at which each part was lost.
	ends     []*observedEnd
	endsWith map[id.Part]int
	// hints are the hashes of parts that other entries blame and sent no record of, and when they came.
	hints *bounded.Map[uint32, time.Duration]
	// hintTurn counts the messages, which repeat the hashes of records in turn.
	hintTurn uint32
	// collecting holds the losses at endpoints that ended just now.
	collecting map[EndID]*losses
	// forgotAt is when old records were last searched.
	forgotAt time.Duration
}

// losses are the unanswered requests at an endpoint that ended.
type losses struct {
	since time.Duration
	list  []Loss
}

// Loss is a request that was not answered when its endpoint ended.
type Loss struct {
	Request id.Request
	Team    id.Team
	Parts   []id.Part
	// Answering is true if the head of the answer had arrived.
	Answering bool

	// trial is true if the request was the trial of a part.
	trial bool
}

// New returns an empty table of an entry.
func New(cfg Config, self id.Host, onEvent func(Event)) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg: cfg, self: self, onEvent: onEvent, records: make(map[id.Part]*Record),
		counts: bounded.NewMap[id.Part, partCounts](cfg.MaxAnswered), collecting: make(map[EndID]*losses),
		endsWith: make(map[id.Part]int), hints: bounded.NewMap[uint32, time.Duration](maxHints),
	}
}

// ReportLoss records that a request was not answered when its endpoint ended. Advance evaluates
// it together with others at the same endpoint.
func (t *Table) ReportLoss(end EndID, l Loss, now time.Duration) {
	c := t.collecting[end]
	if c == nil {
		c = &losses{since: now}
		t.collecting[end] = c
	}
	l.trial = t.holdsClaim(l.Parts, now)
	c.list = append(c.list, l)
}

// Collecting reports whether Advance is due soon.
func (t *Table) Collecting() bool { return len(t.collecting) > 0 }

// Advance blames parts for the ends whose losses have been collected, and for those that no entry has explained in time.
func (t *Table) Advance(now time.Duration) {
	for end, c := range t.collecting {
		if now-c.since >= t.cfg.CollectTime {
			delete(t.collecting, end)
			t.evaluate(end, c.list, now)
		}
	}
	t.evaluateEvidence(now)
}

// forget drops the records without requests for long.
func (t *Table) forget(now time.Duration) {
	if now-t.forgotAt < t.cfg.ForgetAfter/forgetFraction {
		return
	}
	t.forgotAt = now
	for part, r := range t.records {
		if now-max(r.UsedAt, r.ChangedAt) > t.cfg.ForgetAfter && !r.ByOperator {
			delete(t.records, part)
			t.emit(KindForgotten, r, "", false)
		}
	}
	t.forgetHints(now)
}

// forgetFraction is the fraction of Config.ForgetAfter between searches for old records.
const forgetFraction = 60

// evaluate blames parts for an end.
func (t *Table) evaluate(end EndID, list []Loss, now time.Duration) {
	var answering []Loss
	for _, l := range list {
		if l.Answering && len(l.Parts) > 0 {
			answering = append(answering, l)
		}
	}
	candidates := list
	if len(answering) > 0 {
		candidates = answering
	}
	t.observeEnd(end, candidates, now)
	if len(answering) > 0 {
		common := t.suspects(answering[0].Parts, true)
		for _, l := range answering[1:] {
			s := t.suspects(l.Parts, true)
			common = slices.DeleteFunc(slices.Clone(common), func(p id.Part) bool { return !contains(s, p) })
		}
		if len(common) > 0 {
			t.blame(common, Blocked, end, answering[0], now)
			return
		}
		list = answering // Several requests with nothing in common: one of them.
		for i := range list {
			list[i].Answering = false
		}
	}
	if t.witnessed(end) {
		return
	}
	for _, l := range list {
		s := t.suspects(l.Parts, false)
		state := Suspected
		if l.trial {
			state = Blocked
		}
		t.blame(s, state, end, l, now)
	}
}

// suspects returns the parts of a request with which no answer has begun. If there are none, it
// returns nil, or all parts if one of them must be the cause: it may do harm only at times.
func (t *Table) suspects(parts []id.Part, certain bool) []id.Part {
	var out []id.Part
	for _, p := range parts {
		r := t.records[p]
		counts, _ := t.counts.Get(p)
		if (r != nil && r.State != Cleared) || (counts.sinceEnd == 0 && (r == nil || len(r.Ends) == 0)) {
			out = append(out, p)
		}
	}
	if len(out) == 0 && certain {
		return slices.Clone(parts)
	}
	return out
}

// blame records an end as caused by one of the parts of a lost request.
func (t *Table) blame(parts []id.Part, state State, end EndID, l Loss, now time.Duration) {
	if known := t.certain(parts); len(known) > 0 {
		parts = known
	}
	explained := false
	for i, p := range parts {
		r := t.record(p, now)
		if r == nil || r.ByOperator || (slices.Contains(r.Ends, end) && r.State >= state) {
			continue
		}
		companions := newCompanions(parts, i)
		if r.State == Cleared {
			r.Companions, r.Ambiguous, r.Team = companions, len(parts) > 1, l.Team
		} else {
			r.narrow(parts, len(parts) > 1, l.Team)
		}
		if len(r.Ends) == 0 {
			r.Ambiguous, r.Team = len(parts) > 1, l.Team
		}
		r.blame(end, now)
		r.State = max(r.State, state)
		r.Witnessed = l.Answering
		r.Claimant = ""
		r.Until = now + t.pause(r.Trials)
		t.changed(r, now)
		t.emit(KindBlamed, r, l.Request, false)
		if i == 0 || !explained && r.State == Blocked && r.Witnessed {
			explained = t.clearExplained(end, now)
		}
		t.vouchForNewEnd(r, now)
	}
}

// certain returns those of the parts that were blocked before and alone come into question.
func (t *Table) certain(parts []id.Part) []id.Part {
	var out []id.Part
	for _, p := range parts {
		if r := t.records[p]; r != nil && r.State == Blocked && (!r.Ambiguous || len(r.Ends) >= certainEnds) && t.hasAllBlamed(r, parts, r.Team) {
			out = append(out, p)
		}
	}
	return out
}

// witnessed reports whether the request that caused an end is known.
func (t *Table) witnessed(end EndID) bool {
	for _, r := range t.records {
		if r.State == Blocked && r.Witnessed && slices.Contains(r.Ends, end) {
			return true
		}
	}
	return false
}

// clearExplained clears the parts that are only suspected of an end if the request that caused
// it is known, and reports whether it is.
func (t *Table) clearExplained(end EndID, now time.Duration) bool {
	if !t.witnessed(end) {
		return false
	}
	for _, r := range t.records {
		if r.State == Suspected && len(r.Ends) == 1 && r.Ends[0] == end {
			r.Ends = nil // No answer speaks for it.
			t.clear(r, "", now)
		}
	}
	return true
}

// pause returns the time from a block to the next trial.
func (t *Table) pause(trials int) time.Duration {
	d := t.cfg.Pause
	for range min(trials, t.cfg.MaxTrials) {
		d *= time.Duration(t.cfg.PauseGrowth)
	}
	return d
}

// record returns the record of a part, a new one if there is none. It returns nil if the table
// is full of blocked parts.
func (t *Table) record(p id.Part, now time.Duration) *Record {
	if r := t.records[p]; r != nil {
		return r
	}
	if len(t.records) >= t.cfg.MaxRecords && !t.evict() {
		return nil
	}
	r := &Record{Part: p, UsedAt: now}
	t.records[p] = r
	return r
}

// evictFraction is the fraction of Config.MaxRecords that is dropped at a time.
const evictFraction = 16

// evict drops the least severe records, those that were used least recently of several. It reports whether there were
// any that may be dropped. Blocked parts of long prompts may: a part that does harm comes again, its companions do not.
func (t *Table) evict() bool {
	var list []*Record
	for _, r := range t.records {
		if r.State != Blocked || !r.specific() && r.Claimant == "" {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(min(a.State, Suspected), min(b.State, Suspected)), cmp.Compare(b.shareRank(), a.shareRank()), cmp.Compare(a.UsedAt, b.UsedAt))
	})
	list = list[:min(len(list), max(t.cfg.MaxRecords/evictFraction, 1))]
	for _, r := range list {
		delete(t.records, r.Part)
	}
	return len(list) > 0
}

func (t *Table) changed(r *Record, now time.Duration) {
	r.Version++
	r.ChangedAt = now
}

func (t *Table) emit(k Kind, r *Record, request id.Request, learned bool) {
	counts, _ := t.counts.Get(r.Part)
	t.onEvent(Event{Kind: k, Record: *r, Request: request, Learned: learned, Answers: counts.sinceEnd})
}

// RecordAnswer records that an answer to a request with the parts goes on after its first event.
func (t *Table) RecordAnswer(parts []id.Part, request id.Request, now time.Duration) {
	t.recent.add(now)
	for _, p := range parts {
		counts, _ := t.counts.Get(p)
		counts.recent.add(now)
		counts.answered = true
		counts.sinceEnd++
		t.counts.Put(p, counts)
		r := t.records[p]
		switch {
		case r == nil || r.State == Cleared:
		case r.Claimant == t.self && !r.ByOperator && t.isEvident(p):
			r.Claimant = ""
			t.changed(r, now)
			t.emit(KindReleased, r, request, false)
		case r.Claimant == t.self && !r.ByOperator:
			t.clear(r, request, now)
		default:
			t.vouch(r, request, now)
		}
	}
}

// vouch clears a part if this entry has seen enough answers to it.
func (t *Table) vouch(r *Record, request id.Request, now time.Duration) {
	need := 1
	switch {
	case len(r.Ends) >= minEvidenceEnds && !r.Witnessed: // Answers in between are to be expected.
		need = evidenceAnswersFactor * t.cfg.RepeatAnswers
	case len(r.Ends) > 1:
		need = t.cfg.RepeatAnswers
	}
	if counts, _ := t.counts.Get(r.Part); counts.sinceEnd >= need && r.State != Cleared && !r.ByOperator && !t.isEvident(r.Part) {
		t.clear(r, request, now)
	}
}

// vouchForNewEnd is vouch after an end was blamed on the part. Answers from before it count once.
func (t *Table) vouchForNewEnd(r *Record, now time.Duration) {
	t.vouch(r, "", now)
	if counts, ok := t.counts.Get(r.Part); ok && len(r.Ends) > 0 {
		counts.sinceEnd = 0
		t.counts.Put(r.Part, counts)
	}
}

func (t *Table) clear(r *Record, request id.Request, now time.Duration) {
	r.State, r.Claimant = Cleared, ""
	t.changed(r, now)
	t.emit(KindCleared, r, request, false)
}

// Merge applies the records of another entry. It reports whether any was news.
func (t *Table) Merge(list []Message, now time.Duration) (news bool) {
	for _, m := range list {
		if m.Part == "" && t.mergeHints(m.Hints, now) {
			news = true
		}
		if m.Part == "" || len(m.Part) > MaxPartBytes {
			continue
		}
		if t.merge(m.record(now), now) {
			news = true
		}
	}
	return news
}

func (t *Table) merge(in Record, now time.Duration) bool {
	r := t.record(in.Part, in.UsedAt)
	if r == nil {
		return false
	}
	before := *r
	r.UsedAt = max(r.UsedAt, in.UsedAt)
	switch {
	case in.Version < before.Version:
		if r.State != Cleared || now-r.ChangedAt > clearedShareTime {
			r.ChangedAt = now // The other entry missed the change, or was sent a hint of it only.
		}
		return false
	case before.supersededBy(in):
		*r = in
		r.UsedAt, r.BlamedAt = max(before.UsedAt, in.UsedAt), before.BlamedAt
	}
	if in.Version == before.Version { // Of two ends at a time, neither entry knew the other's.
		if in.State == before.State {
			r.Companions, r.Ambiguous, r.Team = before.Companions, before.Ambiguous, before.Team
			r.narrow(in.Companions, in.Ambiguous, in.Team)
		}
		for _, end := range slices.Concat(before.Ends, in.Ends) {
			if len(r.Ends) < maxEnds {
				r.blame(end, now)
			}
		}
	}
	added := slices.DeleteFunc(slices.Clone(r.Ends), func(e EndID) bool { return slices.Contains(before.Ends, e) })
	switch {
	case len(added) > 0:
		r.BlamedAt = now
		t.emit(KindBlamed, r, "", true)
		for _, end := range added {
			t.clearExplained(end, now)
		}
		t.vouchForNewEnd(r, now)
	case r.State == Cleared && before.State != Cleared:
		t.emit(KindCleared, r, "", true)
	case !before.supersededBy(in):
		return false
	}
	return true
}

// clearedShareTime is the time for which the record of a cleared part is sent to other entries.
const clearedShareTime = 10 * time.Second

// Encode returns the records to send to other entries. If there are many, they are those of least shareRank and of
// these the latest, and hints of the others.
func (t *Table) Encode(now time.Duration) []Message {
	t.forget(now)
	var list []*Record
	for _, r := range t.records {
		if r.State != Cleared || now-r.ChangedAt < clearedShareTime {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(a.shareRank(), b.shareRank()), cmp.Compare(b.ChangedAt, a.ChangedAt), cmp.Compare(a.Part, b.Part))
	})
	whole := min(len(list), t.cfg.MaxShared)
	out := make([]Message, whole, whole+1)
	for i, r := range list[:whole] {
		out[i] = r.message(now)
	}
	if hints := t.encodeHints(list[whole:], now); len(hints) > 0 {
		out = append(out, Message{Hints: hints})
	}
	return out
}

// Records returns all records, sorted by part.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.records))
	for _, p := range slices.Sorted(maps.Keys(t.records)) {
		out = append(out, *t.records[p])
	}
	return out
}

// Block blocks a part until Free is called.
func (t *Table) Block(p id.Part, now time.Duration) bool {
	r := t.record(p, now)
	if r == nil {
		return false
	}
	r.State, r.ByOperator, r.Companions, r.Claimant = Blocked, true, nil, ""
	t.changed(r, now)
	t.emit(KindBlamed, r, "", false)
	return true
}

// Free clears a part and what was blamed on it. It returns false if there is no record of it.
func (t *Table) Free(p id.Part, now time.Duration) bool {
	r := t.records[p]
	if r == nil {
		return false
	}
	r.ByOperator, r.Ends, r.Trials = false, nil, 0
	t.clear(r, "", now)
	return true
}
