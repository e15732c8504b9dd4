package logging

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a trace that contains lines of other requests, or lists the lines of several nodes out of order.
func TestTraceOrdersTheLinesOfOneRequest(t *testing.T) {
	first := strings.NewReader(`not a line
  3.1 node-b {"level":"warn","ts":"2026-01-26T22:23:10.200Z","msg":"gateway: request refused","request":"r1","reason":"timeout"}
{"ts":"2026-01-26T22:23:10.000Z","msg":"gateway: request refused","request":"r2"}
{broken`)
	second := strings.NewReader(`{"ts":"2026-01-26T22:23:10.100Z","msg":"gateway: attempt failed","request":"r1","endpoint":"i-1"}`)
	lines, err := Trace("r1", first, second)
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, lines[0].Message, "gateway: attempt failed")
	assert.Assert(t, !lines[0].EndsRequest())
	assert.Equal(t, lines[1].Fields["reason"], "timeout")
	assert.Assert(t, lines[1].EndsRequest())
}
