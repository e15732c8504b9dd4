package prefix

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Chain holds the beginnings of a prompt, shortest first. The last one is the whole prompt.
type Chain []Beginning

// Append adds the next part of the prompt.
func (c Chain) Append(id string, tokens int) Chain {
	var before [8]byte
	if len(c) > 0 {
		binary.LittleEndian.PutUint64(before[:], c[len(c)-1].Hash)
	}
	h := xxh3.New()
	_, _ = h.Write(before[:])
	_, _ = h.WriteString(id)
	return append(c, Beginning{Hash: h.Sum64(), PartTokens: tokens})
}
