package endpoints

import (
	"github.com/siskinford/siskinford/balance/prefix"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// PrefixSink applies the prefix cache events of endpoints to an index. It
// implements CacheSink.
type PrefixSink struct {
	Index *prefix.Index
}

// ApplyCacheEvents implements CacheSink. A gap in the events clears the endpoint's
// cache in the index, which then continues from the last event.
func (p PrefixSink) ApplyCacheEvents(e id.Endpoint, inc id.Incarnation, events []msg.CacheEvent) {
	converted := make([]prefix.Event, len(events))
	for i, event := range events {
		converted[i] = prefix.Event{Seq: event.Seq, Block: event.Block, Evicted: event.Evicted, Cleared: event.Cleared}
	}
	if !p.Index.Apply(e, inc, converted) {
		p.Index.ApplySnapshot(e, inc, events[len(events)-1].Seq, nil)
	}
}
