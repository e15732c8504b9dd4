package engine

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// bytesPerToken is the number of bytes of text that count as one token.
const bytesPerToken = 4

// prompt is the text of a request in the terms of the engine model.
type prompt struct {
	text   string
	hash   uint64
	tokens int64
	// blocks holds a hash for each full block; each covers the text from the start to the end of its block.
	blocks []uint64
}

// newPrompt cuts a text into blocks of tokens.
func newPrompt(text string, blockTokens int64) prompt {
	p := prompt{text: text, hash: xxh3.HashString(text), tokens: int64(len(text)+bytesPerToken-1) / bytesPerToken}
	p.tokens = max(p.tokens, 1)
	size := int(blockTokens) * bytesPerToken
	var parent uint64
	for start := 0; start+size <= len(text); start += size {
		var seed [8]byte
		binary.LittleEndian.PutUint64(seed[:], parent)
		parent = xxh3.HashString(string(seed[:]) + text[start:start+size])
		p.blocks = append(p.blocks, parent)
	}
	return p
}
