package engine

import "container/list"

// blockMemory is the key-value memory: the private blocks of running sequences, and the prefix cache, which evicts its
// least recently used idle blocks. It reads no clock and starts no goroutine.
type blockMemory struct {
	total       int64
	blockTokens int64
	// privateBlocks is the number of blocks outside the prefix cache, each used by one sequence.
	privateBlocks int64
	cached        map[uint64]*cachedBlock
	// idle lists the cached blocks without references, least recently used first.
	idle *list.List
	// onChange is called for each block that is added to or evicted from the cache.
	onChange func(kind CacheEventKind, block uint64)
}

// cachedBlock is one block of the prefix cache.
type cachedBlock struct {
	hash uint64
	refs int
	idle *list.Element
}

func newBlockMemory(total, blockTokens int64, onChange func(CacheEventKind, uint64)) *blockMemory {
	return &blockMemory{
		total: total, blockTokens: blockTokens, cached: map[uint64]*cachedBlock{}, idle: list.New(), onChange: onChange,
	}
}

// used returns the number of blocks in use by sequences; idle cached blocks are not counted.
func (m *blockMemory) used() int64 { return m.privateBlocks + int64(len(m.cached)-m.idle.Len()) }

// blocksFor returns the number of blocks needed for a number of tokens.
func (m *blockMemory) blocksFor(tokens int64) int64 {
	return (tokens + m.blockTokens - 1) / m.blockTokens
}

// admit reserves the blocks for a sequence and its next token. It reserves nothing and returns false if they do not fit
// into memory.
func (m *blockMemory) admit(s *sequence) bool {
	tokens := s.prompt.tokens + int64(s.produced)
	for _, hash := range s.prompt.blocks {
		if !m.addRef(hash) {
			break
		}
		s.sharedBlocks = append(s.sharedBlocks, hash)
	}
	need := m.blocksFor(tokens+1) - int64(len(s.sharedBlocks))
	if !m.reserve(need) {
		m.release(s)
		return false
	}
	s.privateBlocks = need
	// The last token is computed even if it is cached, since the next token is derived from it.
	s.prefill = max(tokens-int64(len(s.sharedBlocks))*m.blockTokens, 1)
	return true
}

// grow reserves a block for the next token if the sequence needs one. It returns false if memory is full.
func (m *blockMemory) grow(s *sequence) bool {
	need := m.blocksFor(s.prompt.tokens+int64(s.produced)+1) - s.privateBlocks - int64(len(s.sharedBlocks))
	if need <= 0 {
		return true
	}
	if !m.reserve(need) {
		return false
	}
	s.privateBlocks += need
	return true
}

// cachePrompt moves the full blocks of a prefilled prompt into the prefix cache.
func (m *blockMemory) cachePrompt(s *sequence) {
	for _, hash := range s.prompt.blocks[len(s.sharedBlocks):] {
		if !m.addRef(hash) {
			m.cached[hash] = &cachedBlock{hash: hash, refs: 1}
			m.onChange(CacheStored, hash)
		}
		s.sharedBlocks = append(s.sharedBlocks, hash)
		s.privateBlocks--
		m.privateBlocks--
	}
}

// release releases the blocks of a sequence. Its cached blocks remain in the prefix cache until they are evicted.
func (m *blockMemory) release(s *sequence) {
	m.privateBlocks -= s.privateBlocks
	s.privateBlocks = 0
	// The last block of a prefix becomes idle first, so that it is evicted before the blocks that it depends on.
	for i := len(s.sharedBlocks) - 1; i >= 0; i-- {
		b := m.cached[s.sharedBlocks[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = m.idle.PushBack(b)
		}
	}
	s.sharedBlocks = nil
}

// addRef adds a reference to a cached block. It returns false if the block is not cached.
func (m *blockMemory) addRef(hash uint64) bool {
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

// reserve reserves n private blocks, evicting idle cached blocks as needed. It returns false if too few can be freed.
func (m *blockMemory) reserve(n int64) bool {
	free := m.total - m.privateBlocks - int64(len(m.cached))
	if free+int64(m.idle.Len()) < n {
		return false
	}
	for ; free < n; free++ {
		b := m.idle.Remove(m.idle.Front()).(*cachedBlock)
		delete(m.cached, b.hash)
		m.onChange(CacheEvicted, b.hash)
	}
	m.privateBlocks += n
	return true
}
