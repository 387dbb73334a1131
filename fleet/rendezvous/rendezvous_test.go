package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

func TestHostLossMovesOnlyItsKeys(t *testing.T) {
	var hosts []id.Host
	for i := range 36 {
		hosts = append(hosts, id.Host(fmt.Sprintf("host-%d", i)))
	}
	fewer := slices.Delete(slices.Clone(hosts), 7, 8)
	held := make(map[id.Host]int)
	const keys = 3600
	for i := range keys {
		key := fmt.Sprintf("duty-%d", i)
		before, ok := First(key, hosts)
		assert.Assert(t, ok)
		assert.Equal(t, before, Rank(key, hosts)[0])
		after, _ := First(key, fewer)
		if before != hosts[7] {
			assert.Equal(t, after, before)
		} else {
			assert.Equal(t, after, Rank(key, hosts)[1])
		}
		held[before]++
	}
	for h, n := range held {
		assert.Assert(t, n > 50 && n < 160, "%s holds %d of %d keys", h, n, keys)
	}
}

func TestNoHosts(t *testing.T) {
	_, ok := First("duty", nil)
	assert.Assert(t, !ok)
	assert.Equal(t, len(Rank("duty", nil)), 0)
}

func TestFirstIsBalancedAndIndependentOfOrder(t *testing.T) {
	_, ok := First("d", nil)
	assert.Assert(t, !ok)
	var hosts []id.Host
	for i := range 12 {
		hosts = append(hosts, id.Host(fmt.Sprintf("entry-%02d", i)))
	}
	const keys = 1200
	counts := map[id.Host]int{}
	for i := range keys {
		name := fmt.Sprintf("duty-%d", i)
		picked, ok := First(name, hosts)
		assert.Assert(t, ok)
		counts[picked]++
		fewer, _ := First(name, hosts[1:])
		assert.Assert(t, picked == hosts[0] || picked == fewer, "a key moved between remaining hosts")
		reversed := make([]id.Host, 0, len(hosts))
		for i := range hosts {
			reversed = append(reversed, hosts[len(hosts)-1-i])
		}
		same, _ := First(name, reversed)
		assert.Equal(t, same, picked)
	}
	for _, host := range hosts {
		assert.Assert(t, counts[host] > keys/len(hosts)/2 && counts[host] < keys/len(hosts)*2, "%s has %d keys", host, counts[host])
	}
}
