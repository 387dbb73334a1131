package platform

import "maps"

// CallKind is the kind of an API call.
type CallKind string

// The kinds of call.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
	CallWatch  CallKind = "watch"
	CallHosts  CallKind = "hosts"
)

func (k CallKind) isWrite() bool { return k == CallPut || k == CallDelete }

// Calls counts received calls, including rejected ones.
type Calls struct {
	// Total is the number of all calls.
	Total int64 `json:"total"`
	// Limited is the number of calls rejected by a rate limit.
	Limited int64 `json:"limited"`
	// ByKind counts by kind of call.
	ByKind map[CallKind]int64 `json:"by_kind"`
	// ByCaller counts by the caller given in the request header, then by kind.
	ByCaller map[string]map[CallKind]int64 `json:"by_caller"`
}

func newCalls() Calls {
	return Calls{
		ByKind:   make(map[CallKind]int64),
		ByCaller: make(map[string]map[CallKind]int64),
	}
}

// Calls returns a copy of the counters.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.calls
	c.ByKind = maps.Clone(c.ByKind)
	c.ByCaller = make(map[string]map[CallKind]int64, len(p.calls.ByCaller))
	for caller, kinds := range p.calls.ByCaller {
		c.ByCaller[caller] = maps.Clone(kinds)
	}
	return c
}

// ResetCalls sets all counters to zero.
func (p *Platform) ResetCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = newCalls()
}

func (p *Platform) countCall(caller string, kind CallKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Total++
	p.calls.ByKind[kind]++
	if p.calls.ByCaller[caller] == nil {
		p.calls.ByCaller[caller] = make(map[CallKind]int64)
	}
	p.calls.ByCaller[caller][kind]++
}

func (p *Platform) countLimited() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Limited++
}
