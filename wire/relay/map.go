package relay

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
)

// ExpertMap lists the experts by layer set, rank and slot. Its text is compact, as each rank
// of a group receives the whole map: base64 of varints, namely the number of sets, for each
// set the number of ranks, and for each rank the number of experts and the experts.
type ExpertMap [][][]int

var errMalformedMap = errors.New("malformed expert map")

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
	if r.malformed || len(r.rest) > 0 {
		return errMalformedMap
	}
	*m = out
	return nil
}

// mapReader decodes the varints of a map. After a malformed one it returns zeros.
type mapReader struct {
	rest      []byte
	malformed bool
}

func (r *mapReader) number() int {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > 1<<31 {
		r.malformed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}

// length reads the length of a list. An element takes at least one byte, so that a length
// above the remaining bytes is malformed.
func (r *mapReader) length() int {
	n := r.number()
	if n > len(r.rest) {
		r.malformed, r.rest = true, nil
		return 0
	}
	return n
}
