package placement

import "math/bits"

const (
	// maxSlots is the maximum number of endpoints with prefix affinity; a cell has at most 32 endpoints.
	maxSlots = 128
	// maxPrefixEntries is the maximum number of blocks in the index of one cell.
	maxPrefixEntries = 16384
)

// slotSet is a bit set of slots.
type slotSet [maxSlots / 64]uint64

// prefixEntry is a prompt block and the endpoints to which it was sent.
type prefixEntry struct {
	hash       uint64
	slots      slotSet
	prev, next int32
}

// PrefixIndex records which prompt blocks were sent to which endpoints, and evicts the least recently sent blocks.
type PrefixIndex struct {
	byHash map[uint64]int32
	// entries is a circular list in the order of use: entries[0] is its sentinel, followed by the most recently sent block.
	entries []prefixEntry
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{byHash: map[uint64]int32{}, entries: make([]prefixEntry, 1)}
}

// Add records that the blocks were sent to the endpoint of a slot.
func (x *PrefixIndex) Add(slot int, hashes []uint64) {
	if slot >= maxSlots {
		return
	}
	for _, h := range hashes {
		i, ok := x.byHash[h]
		if ok {
			x.unlink(i)
		} else {
			i = x.allocateEntry()
			x.entries[i].hash = h
			x.byHash[h] = i
		}
		x.linkFirst(i)
		x.entries[i].slots[slot/64] |= 1 << (slot % 64)
	}
}

// Match sets matched, for each slot, to the number of leading blocks that were sent to its endpoint.
func (x *PrefixIndex) Match(hashes []uint64, matched *[maxSlots]int) {
	*matched = [maxSlots]int{}
	remaining := slotSet{^uint64(0), ^uint64(0)}
	for depth, h := range hashes {
		i, ok := x.byHash[h]
		if !ok {
			return
		}
		for w := range remaining {
			remaining[w] &= x.entries[i].slots[w]
			for rest := remaining[w]; rest != 0; rest &= rest - 1 {
				matched[w*64+bits.TrailingZeros64(rest)] = depth + 1
			}
		}
		if remaining == (slotSet{}) {
			return
		}
	}
}

// RemoveSlot removes an endpoint from all blocks, because its cache is empty after a restart.
func (x *PrefixIndex) RemoveSlot(slot int) {
	if slot >= maxSlots {
		return
	}
	for i := range x.entries {
		x.entries[i].slots[slot/64] &^= 1 << (slot % 64)
	}
}

// allocateEntry returns an unused entry. If the index is full, it evicts the least recently sent block.
func (x *PrefixIndex) allocateEntry() int32 {
	if len(x.entries) <= maxPrefixEntries {
		x.entries = append(x.entries, prefixEntry{})
		return int32(len(x.entries) - 1)
	}
	i := x.entries[0].prev
	x.unlink(i)
	delete(x.byHash, x.entries[i].hash)
	x.entries[i].slots = slotSet{}
	return i
}

func (x *PrefixIndex) unlink(i int32) {
	e := x.entries[i]
	x.entries[e.prev].next = e.next
	x.entries[e.next].prev = e.prev
}

func (x *PrefixIndex) linkFirst(i int32) {
	first := x.entries[0].next
	x.entries[i].prev, x.entries[i].next = 0, first
	x.entries[first].prev = i
	x.entries[0].next = i
}
