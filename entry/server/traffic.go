package server

import (
	"fmt"

	"github.com/siskinford/siskinford/wire/link"
)

// registerTrafficMetrics registers the bytes and packets of the links to one kind of peer.
func (s *Server) registerTrafficMetrics(peer string, p *link.Pool) {
	for direction, read := range map[string]func(link.Traffic) (bytes, packets uint64){
		"sent":     func(t link.Traffic) (uint64, uint64) { return t.SentBytes, t.SentPackets },
		"received": func(t link.Traffic) (uint64, uint64) { return t.ReceivedBytes, t.ReceivedPackets },
	} {
		labels := fmt.Sprintf("{peer=%q,direction=%q}", peer, direction)
		s.metrics.NewGauge("siskinford_link_bytes_total"+labels, func() float64 {
			bytes, _ := read(p.Traffic())
			return float64(bytes)
		})
		s.metrics.NewGauge("siskinford_link_packets_total"+labels, func() float64 {
			_, packets := read(p.Traffic())
			return float64(packets)
		})
	}
}
