package engine

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// bytesPerToken is the number of bytes of text that count as one token.
const bytesPerToken = 4

// prompt is the text of a request, divided into tokens and blocks.
type prompt struct {
	text   string
	hash   uint64
	tokens int64
	// blocks holds a hash for each full block. The hash covers the text from the start of the prompt to the block's end.
	blocks []uint64
}

// newPrompt divides a text into blocks of blockTokens tokens.
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
