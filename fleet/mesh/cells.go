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
	// maxFullMesh is the maximum number of members for a full mesh. Two exchanges a
	// second with each of 19 others stay within the budget for control traffic.
	maxFullMesh = 20
	// cellKey is the rendezvous key that divides a zone into cells, and readerKey the
	// one that ranks the readers of a cell.
	cellKey, readerKey = "cell", "reader"
)

// layout divides a fleet into cells. A member exchanges its state with its cell and
// aggregates with one contact in each other cell, so its exchanges grow with the
// square root of the fleet.
type layout struct {
	hostsByCell map[string][]id.Host // sorted
	cellByHost  map[id.Host]string
	cellNames   []string // sorted
}

// newLayout divides members into cells. The layout depends only on the set of
// members, and adding or removing one seldom moves others.
func newLayout(members []Member) layout {
	l := layout{hostsByCell: make(map[string][]id.Host), cellByHost: make(map[id.Host]string, len(members))}
	zones := make(map[id.Zone]int)
	for _, m := range members {
		zones[m.Zone]++
	}
	for _, m := range members {
		cell := ""
		if len(members) > maxFullMesh {
			cell = cellName(m, zones[m.Zone], len(members))
		}
		l.hostsByCell[cell] = append(l.hostsByCell[cell], m.Host)
		l.cellByHost[m.Host] = cell
	}
	for name, hosts := range l.hostsByCell {
		slices.Sort(hosts)
		l.cellNames = append(l.cellNames, name)
	}
	slices.Sort(l.cellNames)
	return l
}

// cellName returns the cell of a member, given the sizes of its zone and the fleet.
// The number of cells per zone is a power of two, so that it seldom changes.
func cellName(m Member, zone, fleet int) string {
	wanted := float64(zone) / math.Sqrt(float64(fleet))
	cells := uint64(1)
	if wanted > 1 {
		cells = 1 << (bits.Len(uint(wanted*math.Sqrt2)) - 1) // Rounds to the nearest power of two on a logarithmic scale.
	}
	return fmt.Sprintf("%s/%d/%d", m.Zone, cells, rendezvous.Score(cellKey, m.Host)%cells)
}

// cellMembers returns the hosts of a host's cell, the host included.
func (l layout) cellMembers(host id.Host) []id.Host { return l.hostsByCell[l.cellByHost[host]] }

// sameCell reports whether two hosts are in the same cell.
func (l layout) sameCell(a, b id.Host) bool {
	x, ok := l.cellByHost[a]
	y, known := l.cellByHost[b]
	return ok && known && x == y
}

// contacts returns the host's contact in each other cell: the one at the same index
// modulo the size of the cell, or the next one that answers.
func (l layout) contacts(host id.Host, answers func(id.Host) bool) []id.Host {
	own := l.cellByHost[host]
	place := slices.Index(l.hostsByCell[own], host)
	var out []id.Host
	for _, name := range l.cellNames {
		if name == own {
			continue
		}
		hosts := l.hostsByCell[name]
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

// selectReaders returns the first n of hosts, which share a cell and zone, by
// rendezvous hashing.
func selectReaders(hosts []id.Host, n int) []id.Host {
	ranked := rendezvous.Rank(readerKey, hosts)
	return ranked[:min(n, len(ranked))]
}
