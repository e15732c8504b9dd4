package engine

import (
	"fmt"

	"github.com/zeebo/xxh3"
)

// tokenText returns the text of token n. It identifies the prompt, the generation and the position, so that a test can
// detect the answer to another request, a mix of two generations, and a lost or repeated token.
func (g *generation) tokenText(n int) string {
	return fmt.Sprintf("%s.%08x.%d ", PromptHash(g.prompt.text), uint32(xxh3.HashString(g.id)), n)
}

// PromptHash returns the hash of a prompt with which every token of its answer starts. The prompt of a chat request is
// "role: content\n" for each message.
func PromptHash(prompt string) string { return fmt.Sprintf("%08x", uint32(xxh3.HashString(prompt))) }
