package claim

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
)

// Target is the only endpoint and agent incarnation that may run a claimed action.
type Target struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    id.Endpoint
	Incarnation id.Incarnation
}

// Record is a committed claim. All claimants of a key obtain the same record.
type Record struct {
	Hash Hash
	// Action is derived from Hash.
	Action id.Action
	// Payload is the hash of the payload of the request that made the claim.
	Payload Hash
	Target  Target
	// ClaimedAt is the claimant's wall-clock time, to the millisecond.
	ClaimedAt time.Time
	// Nonce is the nonce of the request that made the claim.
	Nonce uint64
}

const (
	targetIndexLen = 2
	timeLen        = 8
	nonceLen       = 8
	// RecordBytes is the stored size of a record without its target, which is
	// stored once for each segment.
	RecordBytes = hashLen + hashLen + timeLen + nonceLen + targetIndexLen
	// maxTargets is the largest number of targets in a segment.
	maxTargets = 1 << 16
)

// encodedSegment is the stored form of a segment.
type encodedSegment struct {
	_       struct{} `cbor:",toarray"`
	Sealed  bool
	Targets []Target
	// Records holds RecordBytes for each record.
	Records []byte
}

// segment is an append-only list of records of one shard and period, immutable once sealed.
type segment struct {
	sealed  bool
	targets []Target
	records []byte
	index   map[Hash]int
}

func newSegment() *segment { return &segment{index: make(map[Hash]int)} }

func decodeSegment(data []byte) (*segment, error) {
	var e encodedSegment
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "claim segment cannot be decoded")
	}
	if len(e.Records)%RecordBytes != 0 {
		return nil, errors.Newf("claim segment has %d bytes of records, not a multiple of %d", len(e.Records), RecordBytes)
	}
	s := &segment{sealed: e.Sealed, targets: e.Targets, records: e.Records, index: make(map[Hash]int, len(e.Records)/RecordBytes)}
	for i := range s.len() {
		if target := s.targetIndex(i); target >= len(s.targets) {
			return nil, errors.Newf("record %d of a claim segment names target %d of %d", i, target, len(s.targets))
		}
		s.index[s.hash(i)] = i
	}
	return s, nil
}

func (s *segment) encode() ([]byte, error) {
	b, err := cbor.Marshal(encodedSegment{Sealed: s.sealed, Targets: s.targets, Records: s.records})
	return b, errors.Wrap(err, "claim segment cannot be encoded")
}

func (s *segment) len() int { return len(s.records) / RecordBytes }

func (s *segment) row(i int) []byte { return s.records[i*RecordBytes : (i+1)*RecordBytes] }

func (s *segment) hash(i int) Hash { return Hash(s.row(i)[:hashLen]) }

func (s *segment) targetIndex(i int) int {
	return int(binary.BigEndian.Uint16(s.row(i)[RecordBytes-targetIndexLen:]))
}

func (s *segment) record(i int) Record {
	row := s.row(i)
	hash := s.hash(i)
	times := row[2*hashLen:]
	return Record{
		Hash:      hash,
		Action:    hash.Action(),
		Payload:   Hash(row[hashLen : 2*hashLen]),
		Target:    s.targets[s.targetIndex(i)],
		ClaimedAt: time.UnixMilli(int64(binary.BigEndian.Uint64(times))),
		Nonce:     binary.BigEndian.Uint64(times[timeLen:]),
	}
}

func (s *segment) find(h Hash) (Record, bool) {
	i, ok := s.index[h]
	if !ok {
		return Record{}, false
	}
	return s.record(i), true
}

// clone returns a deep copy, to which records can be appended.
func (s *segment) clone() *segment {
	c := &segment{sealed: s.sealed, targets: slices.Clone(s.targets), records: slices.Clone(s.records)}
	c.index = make(map[Hash]int, len(s.index)+1)
	for h, i := range s.index {
		c.index[h] = i
	}
	return c
}

// add appends a record. It panics above maxTargets, which a check with fits prevents.
func (s *segment) add(r Record) {
	target := slices.Index(s.targets, r.Target)
	if target < 0 {
		target = len(s.targets)
		if target >= maxTargets {
			panic(fmt.Sprintf("claim segment has %d targets", target))
		}
		s.targets = append(s.targets, r.Target)
	}
	s.index[r.Hash] = s.len()
	s.records = append(s.records, r.Hash[:]...)
	s.records = append(s.records, r.Payload[:]...)
	s.records = binary.BigEndian.AppendUint64(s.records, uint64(r.ClaimedAt.UnixMilli()))
	s.records = binary.BigEndian.AppendUint64(s.records, r.Nonce)
	s.records = binary.BigEndian.AppendUint16(s.records, uint16(target))
}

// fits reports whether a record with the target can be added within limit bytes.
func (s *segment) fits(t Target, limit int) bool {
	size := len(s.records) + RecordBytes
	known := false
	for _, target := range s.targets {
		size += targetBytes(target)
		known = known || target == t
	}
	if !known {
		size += targetBytes(t)
	}
	return s.len() == 0 || size <= limit
}

// targetOverheadBytes bounds the encoded size of a target without its two strings.
const targetOverheadBytes = 8

func targetBytes(t Target) int { return len(t.Endpoint) + len(t.Incarnation) + targetOverheadBytes }

// oldestClaim and newestClaim return the range of the claim times, zero without records.
func (s *segment) oldestClaim() time.Time {
	return s.extremeClaimTime(func(a, b time.Time) bool { return a.Before(b) })
}

func (s *segment) newestClaim() time.Time {
	return s.extremeClaimTime(func(a, b time.Time) bool { return a.After(b) })
}

func (s *segment) extremeClaimTime(better func(a, b time.Time) bool) time.Time {
	var best time.Time
	for i := range s.len() {
		if t := s.record(i).ClaimedAt; i == 0 || better(t, best) {
			best = t
		}
	}
	return best
}

// head is the range of segments in use in a shard. It is never deleted.
type head struct {
	_ struct{} `cbor:",toarray"`
	// Active is the number of the segment to which claims are appended.
	Active uint64
	// Floor is the number of the oldest segment that may hold unexpired claims.
	Floor uint64
}

func decodeHead(data []byte) (head, error) {
	var h head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return head{}, errors.Wrap(err, "claim head cannot be decoded")
	}
	if h.Floor == 0 || h.Active < h.Floor {
		return head{}, errors.Newf("claim head names segments %d to %d", h.Floor, h.Active)
	}
	return h, nil
}
