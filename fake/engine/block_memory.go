package engine

import "container/list"

// blockMemory is the key-value memory: blocks of running sequences, and the prefix cache, whose unused blocks are evicted
// in the order of their last use. It has no clock and no goroutine.
type blockMemory struct {
	total       int64
	blockTokens int64
	// private counts the blocks that belong to one sequence.
	private int64
	cached  map[uint64]*cachedBlock
	// idle holds the cached blocks that no sequence refers to; the front was used least recently.
	idle *list.List
	// changed is told of each block that enters or leaves the cache.
	changed func(kind CacheEventKind, block uint64)
}

// cachedBlock is one block of the prefix cache.
type cachedBlock struct {
	hash uint64
	refs int
	idle *list.Element
}

func newBlockMemory(total, blockTokens int64, changed func(CacheEventKind, uint64)) *blockMemory {
	return &blockMemory{
		total: total, blockTokens: blockTokens, cached: map[uint64]*cachedBlock{}, idle: list.New(), changed: changed,
	}
}

// used returns the number of blocks that sequences refer to.
func (m *blockMemory) used() int64 { return m.private + int64(len(m.cached)-m.idle.Len()) }

// blocksFor returns the number of blocks that hold the tokens.
func (m *blockMemory) blocksFor(tokens int64) int64 {
	return (tokens + m.blockTokens - 1) / m.blockTokens
}

// admit takes the blocks for a sequence and one token more, or reports false and takes nothing.
func (m *blockMemory) admit(s *sequence) bool {
	tokens := s.prompt.tokens + int64(s.produced)
	for _, hash := range s.prompt.blocks {
		if !m.refer(hash) {
			break
		}
		s.shared = append(s.shared, hash)
	}
	need := m.blocksFor(tokens+1) - int64(len(s.shared))
	if !m.take(need) {
		m.release(s)
		return false
	}
	s.private = need
	// The last token is always computed, since it gives the next one.
	s.prefill = max(tokens-int64(len(s.shared))*m.blockTokens, 1)
	return true
}

// grow takes the block for one token more, if one is needed, or reports false.
func (m *blockMemory) grow(s *sequence) bool {
	need := m.blocksFor(s.prompt.tokens+int64(s.produced)+1) - s.private - int64(len(s.shared))
	if need <= 0 {
		return true
	}
	if !m.take(need) {
		return false
	}
	s.private += need
	return true
}

// store moves the full blocks of a computed prompt into the prefix cache.
func (m *blockMemory) store(s *sequence) {
	for _, hash := range s.prompt.blocks[len(s.shared):] {
		if !m.refer(hash) {
			m.cached[hash] = &cachedBlock{hash: hash, refs: 1}
			m.changed(CacheStored, hash)
		}
		s.shared = append(s.shared, hash)
		s.private--
		m.private--
	}
}

// release gives the blocks of a sequence back; those in the prefix cache stay until they are evicted.
func (m *blockMemory) release(s *sequence) {
	m.private -= s.private
	s.private = 0
	// The end of a prefix becomes idle first, so that it is evicted before its start.
	for i := len(s.shared) - 1; i >= 0; i-- {
		b := m.cached[s.shared[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = m.idle.PushBack(b)
		}
	}
	s.shared = nil
}

// refer adds a reference to a cached block, or reports false.
func (m *blockMemory) refer(hash uint64) bool {
	b, ok := m.cached[hash]
	if !ok {
		return false
	}
	if b.idle != nil {
		m.idle.Remove(b.idle)
		b.idle = nil
	}
	b.refs++
	return true
}

// take makes room for n private blocks by evicting idle ones, or reports false.
func (m *blockMemory) take(n int64) bool {
	free := m.total - m.private - int64(len(m.cached))
	if free+int64(m.idle.Len()) < n {
		return false
	}
	for ; free < n; free++ {
		b := m.idle.Remove(m.idle.Front()).(*cachedBlock)
		delete(m.cached, b.hash)
		m.changed(CacheEvicted, b.hash)
	}
	m.private += n
	return true
}
