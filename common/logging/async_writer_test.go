package logging

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that block on a full log buffer, and against dropped lines that are not counted in the log.
func TestAsyncWriterNeverBlocksAndCountsDrops(t *testing.T) {
	w := NewAsyncWriter()
	for range maxPendingLines + 7 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	var out bytes.Buffer
	w.Run(ended, &out)
	assert.Equal(t, strings.Count(out.String(), "line\n"), maxPendingLines)
	assert.Assert(t, strings.Contains(out.String(), `"lines":7`))
}

// Guards against a large store entry that floods the log.
func TestAsyncWriterTruncatesLongLines(t *testing.T) {
	w := NewAsyncWriter()
	_, err := w.Write(bytes.Repeat([]byte("x"), 10*maxLine))
	assert.NilError(t, err)
	assert.Equal(t, len(<-w.lines.Receive()), maxLine+1)
}
