package expertmaps

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/mapswitch"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/wire/relay"
)

// reports plays the ranks of a group to a session.
type reports struct {
	t       testing.TB
	session *session
	links   []*ranklink.Link
	states  []relay.State
	now     time.Duration
}

// pollInterval is the time between the answers of a rank.
const pollInterval = 15 * time.Millisecond

func newReports(t testing.TB, ranks int) *reports {
	set := metrics.NewSet()
	s := &session{
		cfg: Config{}.withDefaults(), name: "g",
		engine: &routes.Engine{Slots: 4, Experts: &routes.Experts{LayerSets: 1, ExpertsPerSet: ranks, SlotsPerRank: 2, MaxNewPerMap: 1}},
		token:  7, log: zerolog.Nop(), set: set, layouts: make(map[*ranklink.Link]relay.Layout), groups: make(map[id.Group]*group),
		pending: make(map[uint64]pendingOrder), invalid: &invalidAnswers{group: "g", log: zerolog.Nop(), set: set},
	}
	s.members = newMembers(s.invalid.add)
	f := &reports{t: t, session: s}
	for r := range ranks {
		f.links = append(f.links, newLink(r))
		f.states = append(f.states, relay.State{Group: "g", Size: ranks, Rank: r, Epoch: 3, Open: true, Step: 812, StartMillis: 1796607356441, Slowdown: 1})
	}
	return f
}

func (f *reports) send(r int, s relay.State) {
	layout := &relay.Layout{Epoch: s.Epoch, Version: s.MapVersion, Experts: [][]int{{r}}}
	f.session.handle(ranklink.Event{Link: f.links[r], State: &s, Layout: layout}, f.now)
}

// poll sends the state of each rank once.
func (f *reports) poll() {
	f.now += pollInterval
	for r := range f.states {
		f.send(r, f.states[r])
	}
	f.session.advance(f.now, false)
}

func (f *reports) group() *group { return f.session.groups["g"] }

// changeable reports whether a change could be started now.
func (f *reports) changeable() bool {
	g := f.group()
	if g == nil {
		return false
	}
	_, _, ok := g.mapSwitch.Current()
	return ok && g.mapSwitch.Phase() != mapswitch.Learning
}

func (f *reports) assertRanks() {
	f.t.Helper()
	for r, l := range f.links {
		assert.Assert(f.t, f.session.members.link(r) == l, "rank %d has another link", r)
		assert.Assert(f.t, f.group().ranks[r].link == l, "the group takes another link for rank %d", r)
	}
}

func (f *reports) invalidCount(kind ranklink.AnswerKind) uint64 {
	return f.session.set.GetOrCreateCounter(fmt.Sprintf("siskinford_rank_answers_invalid_total{group=%q,kind=%q}", "g", string(kind))).Get()
}

// TestWrongRankDoesNotRedirectOrders guards against one wrong bit in the rank of a report: the
// rank's orders go to the replica that sent it, and a pass begins with two maps.
func TestWrongRankDoesNotRedirectOrders(t *testing.T) {
	f := newReports(t, 4)
	f.poll()
	f.poll()
	f.assertRanks()
	for range rankChangeConfirmations - 1 {
		wrong := f.states[1]
		wrong.Rank, wrong.Armed, wrong.Held = 2, 9, 900
		f.send(1, wrong)
		f.assertRanks()
		f.send(1, f.states[1])
	}
	f.assertRanks()
	assert.Equal(t, f.invalidCount(rankAnswer), uint64(rankChangeConfirmations-1))
	assert.Assert(t, f.changeable())
}

// TestWrongFirstRankIsCorrected guards against a link that counts as another rank's for good
// because its first answers were wrong. While two links claim a rank, neither gets its orders.
func TestWrongFirstRankIsCorrected(t *testing.T) {
	f := newReports(t, 4)
	wrong := f.states[1]
	wrong.Rank = 2
	for range confirmations {
		f.send(1, wrong)
	}
	for range confirmations {
		for _, r := range []int{0, 2, 3} {
			f.send(r, f.states[r])
		}
	}
	assert.Assert(t, f.session.members.link(2) == nil)
	assert.Assert(t, !f.changeable())
	for range rankChangeConfirmations + 1 {
		f.poll()
	}
	f.assertRanks()
	assert.Assert(t, f.changeable())
}

// TestOneWrongNumberStopsNoChanges guards against a wrong first digit that raises a mark which
// nothing lowers again: the rank, or the whole group, is ignored from then on.
func TestOneWrongNumberStopsNoChanges(t *testing.T) {
	for name, spoil := range map[string]func(*relay.State){
		"epoch":    func(s *relay.State) { s.Epoch = 7 },
		"low":      func(s *relay.State) { s.Epoch = 2 },
		"born":     func(s *relay.State) { s.StartMillis = 9796607356441 },
		"step":     func(s *relay.State) { s.Step += 100 },
		"next":     func(s *relay.State) { s.Step += 10 },
		"size":     func(s *relay.State) { s.Size = 96 },
		"prepared": func(s *relay.State) { s.Prepared = 5 },
		"held":     func(s *relay.State) { s.Held = 912 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newReports(t, 16)
			f.poll()
			f.poll()
			before := f.group()
			for i := range 20 {
				wrong := f.states[i%5]
				spoil(&wrong)
				f.send(i%5, wrong)
				assert.Assert(t, f.changeable(), "phase %v", before.mapSwitch.Phase())
				assert.Equal(t, len(f.session.members.observe(f.links[9], &f.states[9])), 1, "the answer of another rank was not used")
				f.poll()
				for r := range f.states {
					f.states[r].Step++
				}
			}
			f.poll()
			f.poll()
			g := f.group()
			assert.Assert(t, g == before, "the group was taken for another")
			assert.Equal(t, g.mapSwitch.Epoch(), uint64(3))
			f.assertRanks()
			assert.Assert(t, f.changeable(), "phase %v", g.mapSwitch.Phase())
		})
	}
}

// TestStepBeyondTheGroupIsNotUsed guards against a wrong step that the next change would take for
// the group's: it would hold a step that the group reaches in minutes.
func TestStepBeyondTheGroupIsNotUsed(t *testing.T) {
	f := newReports(t, 4)
	f.poll()
	f.poll()
	wrong := f.states[1]
	wrong.Step += maxStepLead + 1
	assert.Equal(t, len(f.session.members.observe(f.links[1], &wrong)), 0)
	assert.Equal(t, len(f.session.members.observe(f.links[1], &f.states[1])), 1)
	assert.Equal(t, f.invalidCount(stepAnswer), uint64(1))
}

// TestFormationIsFollowedAtOnce guards against the opposite fault: a new epoch, a restart or a
// replacement that is taken for a wrong answer. All are followed once each rank has reported.
func TestFormationIsFollowedAtOnce(t *testing.T) {
	for name, change := range map[string]func(f *reports){
		"epoch": func(f *reports) {
			for r := range f.states {
				f.states[r].Epoch++
			}
		},
		"restart under the same name": func(f *reports) {
			for r := range f.states {
				f.states[r].Epoch, f.states[r].Step = 4, 1
			}
			f.states[5].StartMillis++
		},
		"epoch and pause of the entry": func(f *reports) {
			for r := range f.states {
				f.states[r].Epoch, f.states[r].Step = 4, 90000
			}
		},
		"lower epoch": func(f *reports) {
			for r := range f.states {
				f.states[r].Epoch, f.states[r].Step = 1, 1
			}
		},
		"pause of the entry": func(f *reports) {
			for r := range f.states {
				f.states[r].Step = 90000
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newReports(t, 16)
			f.poll()
			f.poll()
			change(f)
			f.poll()
			g := f.group()
			assert.Equal(t, g.mapSwitch.Epoch(), f.states[0].Epoch)
			f.assertRanks()
			assert.Assert(t, f.changeable(), "phase %v", g.mapSwitch.Phase())
		})
	}
}

// TestReplacedRankIsFollowed checks a replica under another name that takes the place of one that
// is gone, while its entry in the list and its link remain.
func TestReplacedRankIsFollowed(t *testing.T) {
	f := newReports(t, 4)
	f.poll()
	f.poll()
	for _, sameHost := range []bool{false, true} {
		old := f.links[2]
		replacement := newLink(len(f.links) + 1)
		if sameHost {
			replacement = newLinkTo(old.Endpoint().Relay, "another name")
		}
		for r := range f.states {
			f.states[r].Epoch++
		}
		f.links[2] = replacement
		if sameHost { // Both links reach the replica.
			f.session.handle(ranklink.Event{Link: old, State: &f.states[2]}, f.now)
		}
		f.poll()
		f.poll()
		f.assertRanks()
		assert.Assert(t, f.changeable())
		old.Close()
		f.session.members.remove(old)
		f.poll()
		f.assertRanks()
	}
}

// TestSizeOfGroupIsFollowed checks a group that forms with another number of ranks.
func TestSizeOfGroupIsFollowed(t *testing.T) {
	f := newReports(t, 8)
	f.poll()
	f.poll()
	f.links, f.states = f.links[:4], f.states[:4]
	for r := range f.states {
		f.states[r].Epoch, f.states[r].Size = 4, 4
	}
	f.poll()
	f.poll()
	assert.Equal(t, f.group().size, 4)
	f.assertRanks()
}

// TestAnswersOfClosedLinkAreNotUsed guards against a queued answer of a link that was closed, which
// would claim its rank once more.
func TestAnswersOfClosedLinkAreNotUsed(t *testing.T) {
	f := newReports(t, 4)
	f.poll()
	f.poll()
	old := f.links[1]
	old.Close()
	f.session.members.remove(old)
	f.links[1] = newLink(9)
	f.poll()
	f.session.handle(ranklink.Event{Link: old, State: &f.states[1]}, f.now)
	f.poll()
	f.session.handle(ranklink.Event{Link: old, State: &f.states[1]}, f.now)
	f.assertRanks()
}

// spoilDigit changes one bit of the first digit of a number, so that it is another digit.
func spoilDigit(rng *rand.Rand, n uint64) uint64 {
	digits := []byte(strconv.FormatUint(n, 10))
	for _, bit := range rng.Perm(4) {
		if d := digits[0] ^ 1<<bit; d >= '0' && d <= '9' {
			digits[0] = d
			break
		}
	}
	n, _ = strconv.ParseUint(string(digits), 10, 64)
	return n
}

// TestRandomWrongNumbers checks random wrong digits in 2 of 100 answers of 5 of 16 ranks, for as
// many answers as ranks give in a minute: no link counts as another rank's, and the group goes on.
func TestRandomWrongNumbers(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newReports(t, 16)
		f.poll()
		f.poll()
		for range 4000 {
			f.now += pollInterval
			for r := range f.states {
				f.states[r].Step++
				s := f.states[r]
				if r < 5 && rng.Float64() < 0.02 {
					switch rng.IntN(6) {
					case 0:
						s.Epoch = spoilDigit(rng, s.Epoch)
					case 1:
						s.Rank = int(spoilDigit(rng, uint64(s.Rank)))
					case 2:
						s.Step = spoilDigit(rng, s.Step)
					case 3:
						s.Size = int(spoilDigit(rng, uint64(s.Size)))
					case 4:
						s.StartMillis = int64(spoilDigit(rng, uint64(s.StartMillis)))
					case 5:
						s.MapVersion = spoilDigit(rng, s.MapVersion)
					}
				}
				if s.Validate() == nil {
					f.send(r, s)
				}
			}
			for r, l := range f.links {
				got := f.session.members.link(r)
				assert.Assert(t, got == l || got == nil, "seed %d: rank %d has another link", seed, r)
			}
		}
		for range rankChangeConfirmations + 1 {
			f.poll()
		}
		f.assertRanks()
		assert.Assert(t, f.changeable(), "seed %d: phase %v", seed, f.group().mapSwitch.Phase())
	}
}
