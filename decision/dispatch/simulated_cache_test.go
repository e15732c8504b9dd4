package dispatch

import "azuredyke.dev/azuredyke/decision/prefix"

// simulatedCache holds the cached parts of prompts, least recently used first.
type simulatedCache struct {
	parts prefix.Chain
	size  int
	// saved is the number of prompt tokens that were not computed.
	saved int
}

// begin returns the number of cached tokens at the beginning of a prompt.
func (c *simulatedCache) begin(chain prefix.Chain) int {
	saved := 0
	for _, b := range chain {
		if !c.remove(b.Hash) {
			break
		}
		c.parts, c.size = append(c.parts, b), c.size+b.PartTokens
		saved += b.PartTokens
	}
	c.saved += saved
	return saved
}

// add adds the parts of a prompt; the first part is needed by all others and counts as used after them.
func (c *simulatedCache) add(chain prefix.Chain) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.remove(chain[i].Hash)
		c.parts, c.size = append(c.parts, chain[i]), c.size+chain[i].PartTokens
	}
}

// evict removes the least recently used parts until the rest fits into the room.
func (c *simulatedCache) evict(room int) {
	for c.size > max(0, room) {
		c.size -= c.parts[0].PartTokens
		c.parts = c.parts[1:]
	}
}

func (c *simulatedCache) remove(hash uint64) bool {
	for i, b := range c.parts {
		if b.Hash == hash {
			c.parts, c.size = append(c.parts[:i], c.parts[i+1:]...), c.size-b.PartTokens
			return true
		}
	}
	return false
}
