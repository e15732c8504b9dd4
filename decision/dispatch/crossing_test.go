package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against work that crosses data centres for free memory or a smaller batch alone, and against work that waits here although
// it would start or go on sooner elsewhere, or although nothing here has memory for it.
func TestWorkCrossesOnlyForExpectedTime(t *testing.T) {
	table, s := newTable(0, "here", "there")
	s.Endpoints["s"][1].DataCentre = "b"
	p := params
	p.EndpointSpeed = true
	table.SetParams(p)
	table.SetSnapshot(start, s)
	short, long := Request{Service: "s", PromptTokens: 2000, Tokens: 2008}, Request{Service: "s", PromptTokens: 2000, Tokens: 2748}
	expect := func(r Request, want string) {
		t.Helper()
		r.RequireMemoryFit = true
		placed, refusal := table.Place(start, r)
		assert.Equal(t, refusal, Refusal(""))
		assert.Equal(t, placed.Endpoint.ID, want)
		table.Release(start, placed.Run, Cancelled)
	}
	// Runs that have begun use half of the memory here.
	table.SetOthersLoad(start, []Load{{Endpoint: "here", InFlight: 3, Tokens: 5000}})
	expect(short, "here")
	expect(long, "here")
	// 300 prompt tokens take 21 ms, more than a short request's cost of 10 ms and less than a long one's of 47 ms.
	table.SetOthersLoad(start, []Load{{Endpoint: "here", InFlight: 3, Tokens: 5000, Prefill: 300}})
	expect(short, "there")
	expect(long, "here")
	table.SetOthersLoad(start, []Load{{Endpoint: "here", InFlight: 3, Tokens: 5000, SpeedSum: 530, SpeedCount: 100}})
	expect(long, "there")
	table.SetOthersLoad(start, []Load{{Endpoint: "here", InFlight: 3, Tokens: 9000}})
	expect(short, "there")
}
