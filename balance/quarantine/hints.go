package quarantine

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// A request may have over a thousand parts, and its loss blames all that have no answer. Other entries get the hashes
// of those that do not fit a message as whole records, and suspect a part of which they know only the hash when a
// request with it arrives.

const (
	// maxHints bounds the hashes that are kept.
	maxHints = 8192
	// hintBytes is the size of an encoded hash.
	hintBytes = 4
	// hintShareTime is the time for which a hint is sent on. It spans several exchanges between entries.
	hintShareTime = 5 * time.Second
	// repeatedHints is the number of older hints that a message repeats, in turn, for entries that missed them.
	repeatedHints = 64
)

func hintOf(p id.Part) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(p)) // It returns no error.
	return h.Sum32()
}

// suspectHinted suspects the parts of a request that are known by their hashes, unless this entry has seen an answer to
// them. Their records have a lower version than those of the entry that blames the parts, which replace them. The hints
// stay, since another part may have the same hash.
func (t *Table) suspectHinted(parts []id.Part, now time.Duration) {
	if t.hints.Len() == 0 {
		return
	}
	var hinted []id.Part
	for _, p := range parts {
		if t.records[p] != nil || !t.hints.Has(hintOf(p)) {
			continue
		}
		if counts, _ := t.counts.Get(p); !counts.answered {
			hinted = append(hinted, p)
		}
	}
	for i, p := range hinted {
		if r := t.record(p, now); r != nil {
			r.State, r.Companions, r.BlamedAt, r.ChangedAt = Suspected, newCompanions(hinted, i), now, now
			t.emit(KindBlamed, r, "", true)
		}
	}
}

// forgetHints drops the hints that came more than Config.ForgetAfter ago.
func (t *Table) forgetHints(now time.Duration) {
	var old []uint32
	for h, at := range t.hints.All() {
		if now-at > t.cfg.ForgetAfter {
			old = append(old, h)
		}
	}
	for _, h := range old {
		t.hints.Remove(h)
	}
}

// mergeHints adds the hints of another entry, vouches for the parts that this entry has seen answers to, and reports
// whether any hint is new.
func (t *Table) mergeHints(b []byte, now time.Duration) (news bool) {
	added := make(map[uint32]bool)
	for ; len(b) >= hintBytes; b = b[hintBytes:] {
		if h := binary.BigEndian.Uint32(b); !t.hints.Has(h) {
			t.hints.Put(h, now)
			added[h] = true
		}
	}
	if len(added) == 0 {
		return false
	}
	var vouched []id.Part
	for p, counts := range t.counts.All() {
		if counts.sinceEnd > 0 && t.records[p] == nil && added[hintOf(p)] {
			vouched = append(vouched, p)
		}
	}
	for _, p := range vouched {
		if r := t.record(p, now); r != nil {
			r.State, r.Version = Suspected, 1 // The version of a first end.
			t.vouchForNewEnd(r, now)
		}
	}
	return true
}

// encodeHints returns the hashes of records that were changed lately and of the hints that arrived lately, which
// entries further away have not seen. It repeats some of the other records' hashes with each message, so that an entry
// that starts hears of all of them in time.
func (t *Table) encodeHints(list []*Record, now time.Duration) []byte {
	var b []byte
	t.hintTurn++
	turns := uint32(len(list)/repeatedHints + 1)
	for _, r := range list {
		if r.State == Cleared {
			continue
		}
		if h := hintOf(r.Part); now-r.ChangedAt < hintShareTime || h%turns == t.hintTurn%turns {
			b = binary.BigEndian.AppendUint32(b, h)
		}
	}
	for h, at := range t.hints.All() {
		if now-at < hintShareTime {
			b = binary.BigEndian.AppendUint32(b, h)
		}
	}
	return b
}
