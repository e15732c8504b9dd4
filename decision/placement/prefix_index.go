package placement

import "math/bits"

const (
	// maxSlots bounds the endpoints with prefix affinity; cells hold at most 32.
	maxSlots = 128
	// prefixEntries bounds the remembered blocks of one cell.
	prefixEntries = 16384
)

// slotSet is a set of slots.
type slotSet [maxSlots / 64]uint64

// prefixEntry is one remembered block and the endpoints that were sent it.
type prefixEntry struct {
	hash       uint64
	slots      slotSet
	prev, next int32
}

// PrefixIndex remembers which endpoints were sent which prompt blocks, and forgets the least recently sent ones.
type PrefixIndex struct {
	byHash map[uint64]int32
	// entries is a ring of entries in the order of their use: entries[0] is its anchor, followed by the newest.
	entries []prefixEntry
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{byHash: map[uint64]int32{}, entries: make([]prefixEntry, 1)}
}

// Add notes that an endpoint was sent the blocks.
func (x *PrefixIndex) Add(slot int, hashes []uint64) {
	if slot >= maxSlots {
		return
	}
	for _, h := range hashes {
		i, ok := x.byHash[h]
		if ok {
			x.unlink(i)
		} else {
			i = x.free()
			x.entries[i].hash = h
			x.byHash[h] = i
		}
		x.linkFirst(i)
		x.entries[i].slots[slot/64] |= 1 << (slot % 64)
	}
}

// Match writes for each slot how many leading blocks its endpoint was sent.
func (x *PrefixIndex) Match(hashes []uint64, matched *[maxSlots]int) {
	*matched = [maxSlots]int{}
	alive := slotSet{^uint64(0), ^uint64(0)}
	for depth, h := range hashes {
		i, ok := x.byHash[h]
		if !ok {
			return
		}
		for w := range alive {
			alive[w] &= x.entries[i].slots[w]
			for rest := alive[w]; rest != 0; rest &= rest - 1 {
				matched[w*64+bits.TrailingZeros64(rest)] = depth + 1
			}
		}
		if alive == (slotSet{}) {
			return
		}
	}
}

// Forget drops everything about an endpoint, whose cache is empty after a restart.
func (x *PrefixIndex) Forget(slot int) {
	if slot >= maxSlots {
		return
	}
	for i := range x.entries {
		x.entries[i].slots[slot/64] &^= 1 << (slot % 64)
	}
}

// free returns an unused entry, that of the least recently sent block if there is no other.
func (x *PrefixIndex) free() int32 {
	if len(x.entries) <= prefixEntries {
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
