package harness

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/engine"
)

// Answer is what a caller of a model received.
type Answer struct {
	// Prompt is the content of the only message of the request.
	Prompt string
	Status int
	// Verdict is the value of the verdict header.
	Verdict string
	// Words are the words of the answer; each is one token.
	Words []string
	// Numbers are the numbers of the parts of a stream that hold a word.
	Numbers []int
	// Generation is the id of the stream.
	Generation   string
	FinishReason string
	// Done is set by the terminal mark of a stream, and by a whole answer.
	Done bool
	// Failure is the body of an error event, or of an answer other than 200.
	Failure string
	// Err is the error of the connection.
	Err error
	// LongestGap is the longest time between two parts.
	LongestGap time.Duration
	// StartedAfter is the time to the first part.
	StartedAfter time.Duration
}

// CheckWhole fails the test unless the answer is complete, in order, from one generation and to its own request.
func (a Answer) CheckWhole(t testing.TB) {
	t.Helper()
	assert.NilError(t, a.Err)
	assert.Equal(t, a.Status, 200, "%s", a.Failure)
	assert.Equal(t, a.Failure, "")
	assert.Assert(t, a.Done, "no terminal mark after %d words", len(a.Words))
	assert.Assert(t, a.FinishReason != "", "no finish reason")
	assert.Assert(t, len(a.Words) > 0)
	assert.NilError(t, a.Ordered())
}

// Ordered returns an error unless the words that arrived are the start of one answer to the caller's own request, each
// once and in order.
func (a Answer) Ordered() error {
	mark := engine.PromptMark("user: " + a.Prompt + "\n")
	generation := ""
	for n, word := range a.Words {
		parts := strings.Split(word, ".")
		if len(parts) != 3 || parts[0] != mark {
			return fmt.Errorf("word %d is of another request: %q", n, word)
		}
		if generation == "" {
			generation = parts[1]
		}
		if parts[1] != generation {
			return fmt.Errorf("word %d is of another generation: %q", n, word)
		}
		if parts[2] != fmt.Sprint(n) {
			return fmt.Errorf("word %d is %q", n, word)
		}
	}
	for n, number := range a.Numbers {
		if number != n {
			return fmt.Errorf("part %d has number %d", n, number)
		}
	}
	return nil
}
