package expertmaps

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/wire/relay"
)

const (
	// confirmations is the number of answers in a row that must name the same rank before a link
	// counts as that rank's. rankChangeConfirmations applies within a formation, in which a rank
	// does not change.
	confirmations           = 2
	rankChangeConfirmations = 4
	// maxStepLead bounds how far a step may be ahead of the one that most ranks have reached: ranks
	// begin steps together, and answers differ in age by half a second.
	maxStepLead = 32
)

// The kinds of invalid answers that contradict the others.
const (
	rankAnswer      ranklink.AnswerKind = "rank"
	formationAnswer ranklink.AnswerKind = "formation"
	stepAnswer      ranklink.AnswerKind = "step"
)

// formation identifies one forming of a group.
type formation struct {
	size  int
	epoch uint64
}

func formationOf(s *relay.State) formation { return formation{size: s.Size, epoch: s.Epoch} }

// member is the rank that a link reaches, as its answers describe it.
type member struct {
	link *ranklink.Link
	// number orders the members by their first answers.
	number int
	// state is the last answer, and used whether it was passed on.
	state relay.State
	used  bool
	// named is the rank that the last times answers named.
	named, times int
	// rank is the confirmed rank, -1 for none.
	rank int
	// joined is the last formation of the group that an answer named.
	joined formation
}

// members decides which link reaches which rank of a group, and which answers of the ranks are
// used. A rank's answer may be wrong: the link that it came by, earlier answers and those of the
// other ranks have to agree with it. It is not safe for concurrent use.
type members struct {
	// invalid is called with answers that were not used and that a later one contradicts.
	invalid func(l *ranklink.Link, kind ranklink.AnswerKind, err error)

	byLink map[*ranklink.Link]*member
	next   int
	// current is the formation that more than half of its ranks name.
	current formation
	// byRank holds the links of the current formation. A rank that several links claim has none.
	byRank []*member
	// step is the highest step that more than half of the ranks have reached, as of the last time
	// that an answer was beyond it.
	step uint64
}

func newMembers(invalid func(*ranklink.Link, ranklink.AnswerKind, error)) *members {
	return &members{invalid: invalid, byLink: make(map[*ranklink.Link]*member)}
}

// observe processes an answer and returns the members whose last answers are to be used now.
func (v *members) observe(l *ranklink.Link, s *relay.State) []*member {
	m := v.byLink[l]
	if m == nil {
		m = &member{link: l, number: v.next, named: -1, rank: -1}
		v.next++
		v.byLink[l] = m
	} else {
		v.reportContradiction(m, s)
	}
	m.state, m.used = *s, false
	confirmed := m.confirm(s)
	if !confirmed && v.usable(m) {
		m.used = true
		return []*member{m}
	}
	v.updateFormation()
	v.assignRanks()
	v.updateStep()
	var out []*member
	for _, m := range v.byRank {
		if m != nil && !m.used && v.usable(m) {
			m.used = true
			out = append(out, m)
		}
	}
	return out
}

// remove forgets a link that was closed.
func (v *members) remove(l *ranklink.Link) {
	if v.byLink[l] != nil {
		delete(v.byLink, l)
		v.assignRanks()
	}
}

// link returns the link of a rank, or nil.
func (v *members) link(rank int) *ranklink.Link {
	if rank >= len(v.byRank) || v.byRank[rank] == nil {
		return nil
	}
	return v.byRank[rank].link
}

// confirm counts the answers that name the same rank, and reports whether the member's rank changed.
func (m *member) confirm(s *relay.State) bool {
	if s.Rank != m.named {
		m.named, m.times = s.Rank, 0
	}
	m.times++
	needed := rankChangeConfirmations
	if m.rank < 0 || formationOf(s) != m.joined {
		needed = confirmations
	}
	if m.named == m.rank || m.times < needed {
		return false
	}
	m.rank = m.named
	return true
}

// usable reports whether the last answer of a member agrees with what is known.
func (v *members) usable(m *member) bool {
	return formationOf(&m.state) == v.current && m.state.Rank == m.rank && m.rank < len(v.byRank) && v.byRank[m.rank] == m &&
		m.state.Step <= v.step+maxStepLead
}

// updateFormation adopts the formation with the highest epoch that more than half of its ranks name.
func (v *members) updateFormation() {
	votes := make(map[formation]int)
	for _, m := range v.byLink {
		votes[formationOf(&m.state)]++
	}
	best, found := formation{}, false
	for f, n := range votes {
		if 2*n > f.size && (!found || f.epoch > best.epoch) {
			best, found = f, true
		}
	}
	if found && best != v.current {
		v.current, v.step = best, 0
	}
	for _, m := range v.byLink {
		if formationOf(&m.state) == v.current {
			m.joined = v.current
		}
	}
}

// assignRanks finds the link of each rank. Of links to the same relay, as after a replacement under
// another name, the latest counts.
func (v *members) assignRanks() {
	v.byRank = make([]*member, v.current.size)
	contested := make([]bool, v.current.size)
	list := make([]*member, 0, len(v.byLink))
	for _, m := range v.byLink {
		if m.joined == v.current && m.rank >= 0 && m.rank < v.current.size {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.number, b.number) })
	for _, m := range list {
		other := v.byRank[m.rank]
		contested[m.rank] = contested[m.rank] || other != nil && !sameHost(m, other)
		v.byRank[m.rank] = m
	}
	for r, c := range contested {
		if c {
			v.byRank[r] = nil
		}
	}
}

func sameHost(a, b *member) bool {
	x, y := a.link.Endpoint(), b.link.Endpoint()
	return x.Relay == y.Relay && x.Address == y.Address
}

// updateStep finds the step that more than half of the ranks have reached.
func (v *members) updateStep() {
	steps := make([]uint64, 0, len(v.byRank))
	for _, m := range v.byRank {
		if m != nil && formationOf(&m.state) == v.current {
			steps = append(steps, m.state.Step)
		}
	}
	v.step = 0
	if majority := v.current.size/2 + 1; len(steps) >= majority {
		slices.Sort(steps)
		v.step = steps[len(steps)-majority]
	}
}

// reportContradiction reports the member's last answer if it was not used and the next one, which
// agrees with what is known, contradicts it.
func (v *members) reportContradiction(m *member, next *relay.State) {
	last := &m.state
	if m.used || formationOf(next) != v.current || next.Rank != m.rank {
		return
	}
	switch {
	case last.Rank != m.rank:
		v.invalid(m.link, rankAnswer, fmt.Errorf("%w: the link of rank %d named rank %d", relay.ErrInvalid, m.rank, last.Rank))
	case formationOf(last) != v.current && last.Epoch > v.current.epoch || last.Size != v.current.size:
		v.invalid(m.link, formationAnswer, fmt.Errorf("%w: rank %d named epoch %d and %d ranks in epoch %d with %d ranks",
			relay.ErrInvalid, m.rank, last.Epoch, last.Size, v.current.epoch, v.current.size))
	case formationOf(last) == v.current && last.Step > next.Step:
		v.invalid(m.link, stepAnswer, fmt.Errorf("%w: rank %d named step %d, and then %d", relay.ErrInvalid, m.rank, last.Step, next.Step))
	}
}
