package logging

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that wait for a full log, and against lines that vanish without a word.
func TestAsyncWriterNeverBlocksAndCountsDrops(t *testing.T) {
	w := NewAsyncWriter()
	for range asyncLines + 7 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	var out bytes.Buffer
	w.Run(ended, &out)
	assert.Equal(t, strings.Count(out.String(), "line\n"), asyncLines)
	assert.Assert(t, strings.Contains(out.String(), `"lines":7`))
}

// Guards against an entry of the store that fills the log.
func TestAsyncWriterCutsLongLines(t *testing.T) {
	w := NewAsyncWriter()
	_, err := w.Write(bytes.Repeat([]byte("x"), 10*maxLine))
	assert.NilError(t, err)
	assert.Equal(t, len(<-w.lines.Receive()), maxLine+1)
}
