package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that fits when it starts and is preempted by the engine after the running requests have grown.
func TestExpectedMemoryFilterIncludesGrowth(t *testing.T) {
	lengths := NewLengthTable(nil)
	for range 500 {
		lengths.RecordGrowth(0, 2000)
		lengths.RecordEnd(2000)
	}
	running := NewForecast(lengths, 100, 10, 0, 16)
	c := &Candidate{InFlight: 1, Capacity: 3000}
	c.Memory.Add(&running)
	r := &Request{Memory: NewForecast(lengths, 100, 0, 0, 16)}
	assert.Assert(t, c.Memory.Now()+r.Memory.Now() < 300, "both fit now")
	assert.Assert(t, !ExpectedMemoryFilter{}.Permits(r, c))
	c.Capacity = 10_000
	assert.Assert(t, ExpectedMemoryFilter{}.Permits(r, c))
	c.UntrackedMemory = 9000
	assert.Assert(t, !ExpectedMemoryFilter{}.Permits(r, c), "memory of other work counts")
	c.InFlight = 0
	assert.Assert(t, ExpectedMemoryFilter{}.Permits(r, c), "an idle endpoint takes one request")
}

// Guards against requests with a low token limit that are rejected because of the length that other requests reach.
func TestExpectedMemoryFilterUsesTheCallersBound(t *testing.T) {
	lengths := NewLengthTable(nil)
	c := &Candidate{InFlight: 1, Capacity: 1000}
	assert.Assert(t, !ExpectedMemoryFilter{}.Permits(&Request{Memory: NewForecast(lengths, 100, 0, 0, 16)}, c))
	assert.Assert(t, ExpectedMemoryFilter{}.Permits(&Request{Memory: NewForecast(lengths, 100, 0, 50, 16)}, c))
}
