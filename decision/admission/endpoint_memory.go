package admission

import (
	"time"

	"azuredyke.dev/azuredyke/decision/placement"
)

// measureMemory separates the reported memory into that of own grants and the rest. The rest is memory of other work,
// or negative if requests share memory. Grants without a token are left out, since their prompts may not be in memory
// yet.
func (e *endpoint) measureMemory() {
	c := &e.candidate
	c.Memory = placement.Forecast{}
	ownTokens := 0
	for _, g := range e.grants {
		c.Memory.Add(&g.memory)
		if g.tokens > 0 && !g.startedAt.After(e.loadTaken) {
			ownTokens += g.request.PromptTokens + g.tokens
		}
	}
	c.Capacity = float64(e.load.BlocksTotal * e.load.BlockTokens)
	c.UntrackedMemory = float64(e.load.BlocksUsed*e.load.BlockTokens) - float64(ownTokens)
}

// addMemory adds the forecast of a new grant.
func (e *endpoint) addMemory(g *grant, f placement.Forecast) {
	g.memory = f
	e.candidate.Memory.Add(&f)
}

// replaceMemory replaces the forecast of a grant.
func (e *endpoint) replaceMemory(g *grant, f placement.Forecast) {
	e.candidate.Memory.Remove(&g.memory)
	e.addMemory(g, f)
}

// refreshCandidate updates the input for the placement policy.
func (e *endpoint) refreshCandidate(now time.Time, confirmed bool) {
	c := &e.candidate
	c.ID, c.Models, c.StepModel = e.ID, e.load.Models, &e.steps
	c.InFlight, c.Limit = e.inFlight(), e.limit
	c.Admits, c.Alone = e.admits(now, confirmed), e.aloneGrants > 0
}
