package dispatch

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against copies that cross data centres although an engine in the data centre of the source has free memory, and against
// copies that fail because only that data centre is considered.
func TestCopiesStayInTheDataCentreOfTheirSource(t *testing.T) {
	for seed := range uint64(20) {
		table, s := newTable(0, "a1", "a2", "b1", "b2", "b3")
		for i := range s.Endpoints["s"] {
			s.Endpoints["s"][i].DataCentre = s.Endpoints["s"][i].ID[:1]
		}
		p := params
		p.EndpointSpeed = true
		table.SetParams(p)
		table.random = rand.New(rand.NewPCG(seed, 0))
		table.SetSnapshot(start, s)
		copied := Request{
			Service: "s", PromptTokens: 3000, Tokens: 3600, Exclude: []string{"b1"}, CopyPending: true, Resumed: true, SourceDataCentre: "b",
		}
		placed, refusal := table.Place(start, copied)
		assert.Equal(t, refusal, Refusal(""))
		assert.Equal(t, placed.Endpoint.DataCentre, "b")
		r := Request{Service: "s", PromptTokens: 1000, Tokens: 1500, RequiredEndpoint: "b1", Backup: true}
		placed, _ = table.Place(start, r)
		assert.Equal(t, placed.Backup.DataCentre, "b")
		for _, id := range []string{"b2", "b3"} {
			full := request(9000)
			full.RequiredEndpoint = id
			_, _ = table.Place(start, full)
		}
		placed, _ = table.Place(start, r)
		assert.Equal(t, placed.Backup.DataCentre, "a")
	}
}

// Guards against copies on the engine with the least free memory because it is slow, and against copies that take the memory of a
// fast engine when a slow one has as much.
func TestBackupsPreferFreeMemoryThenSlowEngines(t *testing.T) {
	table, _ := newTable(0, "runs", "fast", "slow")
	p := params
	p.EndpointSpeed = true
	table.SetParams(p)
	table.endpoints["fast"].speed.SetOthers(start, -36*10, 100)
	table.endpoints["slow"].speed.SetOthers(start, 53*10, 100)
	r := Request{Service: "s", PromptTokens: 1000, Tokens: 1500, RequiredEndpoint: "runs", Backup: true}
	placed, _ := table.Place(start, r)
	assert.Equal(t, placed.Backup.ID, "slow")
	placed, _ = table.Place(start, r)
	assert.Equal(t, placed.Backup.ID, "fast")
}
