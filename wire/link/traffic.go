package link

// Traffic counts sent and received bytes and packets, including QUIC headers and
// retransmissions, excluding UDP and IP headers.
type Traffic struct {
	SentBytes, ReceivedBytes     uint64
	SentPackets, ReceivedPackets uint64
}

func (t *Traffic) add(o Traffic) {
	t.SentBytes += o.SentBytes
	t.ReceivedBytes += o.ReceivedBytes
	t.SentPackets += o.SentPackets
	t.ReceivedPackets += o.ReceivedPackets
}

func (c *Conn) traffic() Traffic {
	s := c.quic.ConnectionStats()
	return Traffic{
		SentBytes: s.BytesSent, ReceivedBytes: s.BytesReceived,
		SentPackets: s.PacketsSent, ReceivedPackets: s.PacketsReceived,
	}
}

// Traffic returns the traffic of all connections of the pool, ended ones included.
func (p *Pool) Traffic() Traffic {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := p.endedTraffic
	for _, c := range p.conns {
		total.add(c.traffic())
	}
	return total
}
