package queue

import (
	"container/heap"
	"container/list"
	"time"
)

// entry is an item in the structures of a ShortFirst.
type entry struct {
	item    Item
	arrived time.Time
	// key orders the entries of a team: predicted work, raised by the ageing
	// rate times the arrival. Earlier arrivals gain on later ones as if the
	// wait reduced the work, and the order never has to be computed anew.
	key     float64
	team    *team
	arrival *list.Element
	at      [heapKinds]int // index in each heap, or notInHeap
}

type heapKind int

const (
	byKey heapKind = iota
	byDeadline
	heapKinds
)

const notInHeap = -1

// entryHeap is a heap of entries that knows the index of each.
type entryHeap struct {
	kind    heapKind
	entries []*entry
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *entryHeap) Len() int { return len(h.entries) }

func (h *entryHeap) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	if h.kind == byDeadline {
		return a.item.Deadline.Before(b.item.Deadline)
	}
	return a.key < b.key
}

func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].at[h.kind] = i
	h.entries[j].at[h.kind] = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.at[h.kind] = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	e.at[h.kind] = notInHeap
	return e
}

func (h *entryHeap) add(e *entry) { heap.Push(h, e) }

func (h *entryHeap) remove(e *entry) {
	if i := e.at[h.kind]; i != notInHeap {
		heap.Remove(h, i)
	}
}

// first returns the least entry, or nil.
func (h *entryHeap) first() *entry {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}
