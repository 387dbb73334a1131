// Package rendezvous assigns keys to hosts by rendezvous hashing (highest random
// weight): hosts with the same host list agree without communication, and the
// loss of a host moves only its own keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/id"
)

// Rank returns the hosts in descending order of their score for key. It does not
// modify hosts.
func Rank(key string, hosts []id.Host) []id.Host {
	type scored struct {
		host  id.Host
		score uint64
	}
	all := make([]scored, len(hosts))
	for i, h := range hosts {
		all[i] = scored{host: h, score: Score(key, h)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.host, b.host)
	})
	out := make([]id.Host, len(all))
	for i, s := range all {
		out[i] = s.host
	}
	return out
}

// First returns the host with the greatest score for key, or false without hosts.
func First(key string, hosts []id.Host) (id.Host, bool) {
	if len(hosts) == 0 {
		return "", false
	}
	best := hosts[0]
	bestScore := Score(key, best)
	for _, h := range hosts[1:] {
		s := Score(key, h)
		if s > bestScore || (s == bestScore && h < best) {
			best, bestScore = h, s
		}
	}
	return best, true
}

// Score returns the score of a host for key. Rank and First prefer the greatest.
func Score(key string, host id.Host) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // Digest never returns an error.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
