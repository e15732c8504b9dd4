package prefix

import "math"

// Engine is one incarnation of an engine, as far as its cache depends on it.
type Engine struct {
	// Number identifies the incarnation; a later one with the same ID has another number.
	Number uint64
	ID     string
	// Given is the number of tokens that all nodes have placed on the incarnation.
	Given float64
	// Free is the memory in tokens that no run uses, which cached parts may fill.
	Free float64
}

// keptChance returns the chance that a part is still cached that was used when the engine had been given some tokens. Given is known
// to within about a half only: reports of others leave out runs that end between two of them, and count cached tokens again. The
// chance therefore falls from 1 to 0 while the tokens given since grow from 0.5 to 1.5 times the free memory.
func (e *Engine) keptChance(givenAtUse float64) float64 {
	if e.Free <= 0 {
		return 0
	}
	return math.Max(0, math.Min(1, 1.5-(e.Given-givenAtUse)/e.Free))
}
