package dispatch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// earlierChoices is the hash of the choices that the code made for the requests below before it measured speeds.
const earlierChoices = 6805981533532250231

// Guards against choices that change for deployments without the feature, whose endpoints don't state the speed of their hosts.
func TestChoicesWithoutEndpointSpeedAreThoseOfBefore(t *testing.T) {
	engine := &catalog.Engine{Slots: 8, Capacity: 26_804, SupportsBackups: true, SupportsMoves: true}
	s := &fleet.Snapshot{Configuration: &catalog.Configuration{Services: map[string]*catalog.Service{
		"engine": {Name: "engine", Engine: engine}, "plain": {Name: "plain"},
	}}, Out: map[string]bool{}, Endpoints: map[string][]fleet.Endpoint{}}
	for i := range 24 {
		service := "engine"
		if i%6 == 0 {
			service = "plain"
		}
		e := fleet.Endpoint{Endpoint: catalog.Endpoint{ID: fmt.Sprint(i), Service: service, DataCentre: string(rune('a' + i%3)), Slots: 6}}
		s.Endpoints[service] = append(s.Endpoints[service], e)
	}
	table := NewTable(start, params, rand.New(rand.NewPCG(5, 6)))
	table.SetNodes(20)
	table.SetSnapshot(start, s)
	random, hash, open := rand.New(rand.NewPCG(7, 8)), fnv.New64a(), []uint64{}
	for i := range 3000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		r := Request{Service: "plain"}
		if i%3 > 0 {
			r = Request{Service: "engine", PromptTokens: 1000 * (i % 3), Backup: i%3 == 2, RequireMemoryFit: i%5 > 0, SpareMemoryOnly: i%11 == 0}
			r.Tokens = r.PromptTokens + 500*(i%3-1) + 10
		}
		if i%50 == 0 {
			table.UpdateOthersLoad(now, []Load{{Endpoint: fmt.Sprint(random.IntN(24)), InFlight: random.IntN(9), Tokens: random.IntN(20_000), Prefill: random.IntN(5000)}})
		}
		placed, refusal := table.Place(now, r)
		fmt.Fprintln(hash, refusal, placed.Endpoint.ID, placed.Backup.ID, placed.InFlight, placed.Prefill)
		if refusal == "" {
			open = append(open, placed.Run)
			assert.Assert(t, !placed.BySpeed)
			table.RecordMeasurement(now, placed.Run, Measurement{Events: 20, Elapsed: time.Second})
		}
		if len(open) > 60 {
			run := random.IntN(len(open))
			table.RecordFirstEvent(open[random.IntN(len(open))])
			table.Release(now, open[run], Outcome(random.IntN(3)))
			open = append(open[:run], open[run+1:]...)
		}
	}
	for _, l := range table.OwnLoads() {
		fmt.Fprintln(hash, l.Endpoint, l.InFlight, l.Tokens, l.Prefill)
	}
	assert.Equal(t, hash.Sum64(), uint64(earlierChoices))
	assert.Equal(t, len(table.speed.usual), 0)
}
