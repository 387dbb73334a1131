package mesh

import (
	"fmt"
	"math"
	"math/bits"
	"slices"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

const (
	// wholeFleet is the number of members up to which each exchanges its state
	// with all others. The exchanges of one member with 19 others stay within the
	// users' bound for control at two a second.
	wholeFleet = 20
	// cellKey seeds the hash that divides a zone into cells, and readerKey the one
	// that ranks the readers of a cell.
	cellKey, readerKey = "cell", "reader"
)

// layout divides a fleet into cells. Members of a cell exchange their states; one
// contact in each other cell tells the sum of that one. The exchanges of a member
// grow with the square root of the fleet.
type layout struct {
	cells map[string][]id.Host // in order of host
	of    map[id.Host]string
	names []string // in order
}

// newLayout divides members. The same members are divided in the same way
// everywhere, and one that comes or goes leaves most others where they are.
func newLayout(members []Member) layout {
	l := layout{cells: make(map[string][]id.Host), of: make(map[id.Host]string, len(members))}
	zones := make(map[id.Zone]int)
	for _, m := range members {
		zones[m.Zone]++
	}
	for _, m := range members {
		cell := ""
		if len(members) > wholeFleet {
			cell = cellOf(m, zones[m.Zone], len(members))
		}
		l.cells[cell] = append(l.cells[cell], m.Host)
		l.of[m.Host] = cell
	}
	for name, hosts := range l.cells {
		slices.Sort(hosts)
		l.names = append(l.names, name)
	}
	slices.Sort(l.names)
	return l
}

// cellOf returns the cell of a member whose zone and fleet have a number of members.
// The number of cells of a zone is a power of two, so that it seldom changes.
func cellOf(m Member, zone, fleet int) string {
	wanted := float64(zone) / math.Sqrt(float64(fleet))
	cells := uint64(1)
	if wanted > 1 {
		cells = 1 << (bits.Len(uint(wanted*math.Sqrt2)) - 1) // Rounded on the logarithmic scale.
	}
	return fmt.Sprintf("%s/%d/%d", m.Zone, cells, rendezvous.Score(cellKey, m.Host)%cells)
}

// mates returns the members of a host's cell, the host included.
func (l layout) mates(host id.Host) []id.Host { return l.cells[l.of[host]] }

// together reports whether two hosts are in the same cell.
func (l layout) together(a, b id.Host) bool {
	x, ok := l.of[a]
	y, known := l.of[b]
	return ok && known && x == y
}

// contacts returns the host's contact in each other cell: the one at its own place
// in the order of the cell, or the next one that answers.
func (l layout) contacts(host id.Host, answers func(id.Host) bool) []id.Host {
	own := l.of[host]
	place := slices.Index(l.cells[own], host)
	var out []id.Host
	for _, name := range l.names {
		if name == own {
			continue
		}
		hosts := l.cells[name]
		chosen := hosts[place%len(hosts)]
		for i := range hosts {
			if h := hosts[(place+i)%len(hosts)]; answers(h) {
				chosen = h
				break
			}
		}
		out = append(out, chosen)
	}
	return out
}

// readers returns the hosts among some that read the platform for the others of
// their cell and zone: the first few in an order that spreads the work.
func readers(hosts []id.Host, n int) []id.Host {
	ranked := rendezvous.Rank(readerKey, hosts)
	return ranked[:min(n, len(ranked))]
}
