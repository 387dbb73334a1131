package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// The size of the largest fleet that is planned for.
const (
	benchHosts     = 360
	benchEndpoints = 1200
)

func benchLimiter(b *testing.B) (*Limiter, []id.Endpoint, time.Duration) {
	b.Helper()
	hosts := hostNames(benchHosts)
	l, now := settledLimiter(today, hosts, hosts[0])
	names := make([]id.Endpoint, benchEndpoints)
	for i := range names {
		names[i] = id.Endpoint(fmt.Sprintf("i-%08x", i))
		l.SetCold(names[i], now+time.Hour, now)
	}
	return l, names, now
}

// BenchmarkNext runs Next, which is called once per endpoint and request, while some endpoints are cold.
func BenchmarkNext(b *testing.B) {
	l, names, now := benchLimiter(b)
	for i := range b.N {
		l.Next(names[i%len(names)], now)
	}
}

// BenchmarkFleetChange runs the first Next of each endpoint after a host joined, with all endpoints
// cold.
func BenchmarkFleetChange(b *testing.B) {
	l, names, now := benchLimiter(b)
	for range b.N {
		l.version++
		for _, name := range names {
			l.Next(name, now)
		}
	}
}
