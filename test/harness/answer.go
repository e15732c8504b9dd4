package harness

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/engine"
)

// Answer holds the response to one request to a model, as the caller received it.
type Answer struct {
	// Prompt holds the content of the request's only message.
	Prompt string
	Status int
	// Verdict holds the value of the verdict header.
	Verdict string
	// Words holds the words of the answer, one per token.
	Words []string
	// PartNumbers holds the sequence numbers of the stream parts that carry a choice; -1 for a part without a valid number.
	PartNumbers []int
	// Generation holds the stream id.
	Generation   string
	FinishReason string
	// Done reports whether the stream's [DONE] event arrived, or a complete non-streamed answer.
	Done bool
	// ErrorBody holds the data of an error event, an event that could not be parsed, or the body of a response with a status
	// other than 200.
	ErrorBody string
	// Err holds the connection or decoding error.
	Err error
	// LongestGap holds the longest time between two consecutive events.
	LongestGap time.Duration
	// TimeToFirstWord is the time from the response header to the first word.
	TimeToFirstWord time.Duration
}

// AssertComplete fails the test unless the answer is complete, in order, from one generation, and belongs to its own request.
func (a Answer) AssertComplete(t testing.TB) {
	t.Helper()
	assert.NilError(t, a.Err)
	assert.Equal(t, a.Status, 200, "%s", a.ErrorBody)
	assert.Equal(t, a.ErrorBody, "")
	assert.Assert(t, a.Done, "answer ended after %d words without [DONE]", len(a.Words))
	assert.Assert(t, a.FinishReason != "", "answer has no finish reason")
	assert.Assert(t, len(a.Words) > 0)
	assert.NilError(t, a.VerifyOrder())
}

// VerifyOrder returns an error unless the received words are a prefix of a single answer to the caller's own request, each
// exactly once and in order.
func (a Answer) VerifyOrder() error {
	promptHash := engine.PromptHash("user: " + a.Prompt + "\n")
	generation := ""
	for n, word := range a.Words {
		parts := strings.Split(word, ".")
		if len(parts) != 3 || parts[0] != promptHash {
			return fmt.Errorf("word %d belongs to another request: %q", n, word)
		}
		if generation == "" {
			generation = parts[1]
		}
		if parts[1] != generation {
			return fmt.Errorf("word %d belongs to another generation: %q", n, word)
		}
		if parts[2] != fmt.Sprint(n) {
			return fmt.Errorf("word %d is out of order: %q", n, word)
		}
	}
	for n, number := range a.PartNumbers {
		if number != n {
			return fmt.Errorf("part %d has number %d", n, number)
		}
	}
	return nil
}
