package engine

import (
	"fmt"

	"github.com/zeebo/xxh3"
)

// word returns the text of a token. It names the prompt, the generation and the place, so that a reader can tell an
// answer to another request, a mix of two generations, and a lost or repeated token.
func (g *generation) word(n int) string {
	return fmt.Sprintf("%s.%08x.%d ", PromptMark(g.prompt.text), uint32(xxh3.HashString(g.id)), n)
}

// PromptMark returns the first part of every word of an answer. The prompt of a chat request is "role: content\n" for
// each message.
func PromptMark(prompt string) string { return fmt.Sprintf("%08x", uint32(xxh3.HashString(prompt))) }
