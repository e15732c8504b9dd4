package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that fits at first and is preempted in the engine once the requests have grown.
func TestExpectedMemoryFilterLooksAhead(t *testing.T) {
	lengths := NewLengthTable(nil)
	for range 500 {
		lengths.Grew(0, 2000)
		lengths.Ended(2000)
	}
	running := NewForecast(lengths, 100, 10, 0, 16)
	c := &Candidate{InFlight: 1, Capacity: 3000}
	c.Memory.Add(&running)
	r := &Request{Memory: NewForecast(lengths, 100, 0, 0, 16)}
	assert.Assert(t, c.Memory.Now()+r.Memory.Now() < 300, "both fit now")
	assert.Assert(t, !ExpectedMemoryFilter{}.Permits(r, c))
	c.Capacity = 10_000
	assert.Assert(t, ExpectedMemoryFilter{}.Permits(r, c))
	c.Other = 9000
	assert.Assert(t, !ExpectedMemoryFilter{}.Permits(r, c), "memory of other work counts")
	c.InFlight = 0
	assert.Assert(t, ExpectedMemoryFilter{}.Permits(r, c), "an idle endpoint takes one request")
}

// Guards against short requests that wait because of a general fear of long ones.
func TestExpectedMemoryFilterUsesTheCallersBound(t *testing.T) {
	lengths := NewLengthTable(nil)
	c := &Candidate{InFlight: 1, Capacity: 1000}
	assert.Assert(t, !ExpectedMemoryFilter{}.Permits(&Request{Memory: NewForecast(lengths, 100, 0, 0, 16)}, c))
	assert.Assert(t, ExpectedMemoryFilter{}.Permits(&Request{Memory: NewForecast(lengths, 100, 0, 50, 16)}, c))
}
