package relay

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
)

// ExpertMap tells the experts of each rank, by set, rank and place. Its text is short, as
// each rank of a group gets the whole map: varints in base64, namely the number of
// sets, then for each set the number of ranks, then for each rank the number of its
// experts and the experts.
type ExpertMap [][][]int

var errBadMap = errors.New("the expert map cannot be read")

// MarshalText implements encoding.TextMarshaler.
func (m ExpertMap) MarshalText() ([]byte, error) {
	b := binary.AppendUvarint(nil, uint64(len(m)))
	for _, set := range m {
		b = binary.AppendUvarint(b, uint64(len(set)))
		for _, rank := range set {
			b = binary.AppendUvarint(b, uint64(len(rank)))
			for _, e := range rank {
				b = binary.AppendUvarint(b, uint64(e))
			}
		}
	}
	return base64.RawURLEncoding.AppendEncode(nil, b), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *ExpertMap) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil {
		return err
	}
	r := mapReader{rest: b}
	out := make(ExpertMap, r.length())
	for s := range out {
		out[s] = make([][]int, r.length())
		for i := range out[s] {
			out[s][i] = make([]int, r.length())
			for p := range out[s][i] {
				out[s][i][p] = r.number()
			}
		}
	}
	if r.bad || len(r.rest) > 0 {
		return errBadMap
	}
	*m = out
	return nil
}

// mapReader reads the numbers of a map. After the first one that cannot be read all
// others are zero.
type mapReader struct {
	rest []byte
	bad  bool
}

func (r *mapReader) number() int {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > 1<<31 {
		r.bad, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}

// length reads the length of a list, each of whose elements takes a byte at least.
func (r *mapReader) length() int {
	n := r.number()
	if n > len(r.rest) {
		r.bad, r.rest = true, nil
		return 0
	}
	return n
}
