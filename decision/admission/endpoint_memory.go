package admission

import (
	"time"

	"azuredyke.dev/azuredyke/decision/placement"
)

// measureMemory compares the load report with what the own grants should use. The rest is other work, or memory that
// requests share when it is negative. Grants without a token are left out, since their prompts may not be in memory yet.
func (e *endpoint) measureMemory() {
	c := &e.candidate
	c.Memory = placement.Forecast{}
	known := 0
	for _, g := range e.grants {
		c.Memory.Add(&g.memory)
		if g.tokens > 0 && !g.started.After(e.taken) {
			known += g.request.PromptTokens + g.tokens
		}
	}
	c.Capacity = float64(e.load.BlocksTotal * e.load.BlockTokens)
	c.Other = float64(e.load.BlocksUsed*e.load.BlockTokens) - float64(known)
}

// addMemory counts the memory of a new grant.
func (e *endpoint) addMemory(g *grant, f placement.Forecast) {
	g.memory = f
	e.candidate.Memory.Add(&f)
}

// replaceMemory counts the memory of a grant that has grown.
func (e *endpoint) replaceMemory(g *grant, f placement.Forecast) {
	e.candidate.Memory.Remove(&g.memory)
	e.addMemory(g, f)
}

// refresh brings the view that placement has up to date.
func (e *endpoint) refresh(now time.Time, confirmed bool) {
	c := &e.candidate
	c.ID, c.Models, c.Steps = e.ID, e.load.Models, &e.steps
	c.InFlight, c.Limit = e.inFlight(), e.limit
	c.Admits, c.Alone = e.admits(now, confirmed), e.alone > 0
}
