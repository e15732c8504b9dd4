package configuration

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"azuredyke.dev/azuredyke/decision/config"
)

// asked is one operator's change of an object, made against a revision.
type asked struct {
	object   string
	expected int64
}

// answered is what the operator was told.
type answered struct {
	accepted bool
	// revision is that of the change when it was accepted, and that of the stored object of a conflict.
	revision int64
}

// history is what operators and nodes saw.
type history struct {
	operations []porcupine.Operation
	// inForce holds the revisions that each node had in force, in order.
	inForce [][]int64
	// final is the configuration on each node at the end.
	final []*config.Snapshot
}

// objectModel is one object as a register whose value is its revision: a change is accepted exactly when it was made
// against that revision, and a conflict shows it.
var objectModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byObject := map[string][]porcupine.Operation{}
		for _, op := range all {
			byObject[op.Input.(asked).object] = append(byObject[op.Input.(asked).object], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byObject {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(asked), output.(answered)
		if out.accepted {
			return in.expected == state.(int64) && out.revision > state.(int64), out.revision
		}
		return in.expected != state.(int64) && out.revision == state.(int64), state
	},
}

// check returns what is wrong with a history.
func (h *history) check() []string {
	var problems []string
	if !porcupine.CheckOperations(objectModel, h.operations) {
		problems = append(problems, "the answers to the operators fit no order of the changes")
	}
	for node, revisions := range h.inForce {
		for i := 1; i < len(revisions); i++ {
			if revisions[i] <= revisions[i-1] {
				problems = append(problems, fmt.Sprintf("node %d went from revision %d to %d", node, revisions[i-1], revisions[i]))
			}
		}
	}
	newest := map[string]int64{}
	for _, op := range h.operations {
		if out := op.Output.(answered); out.accepted {
			newest[op.Input.(asked).object] = max(newest[op.Input.(asked).object], out.revision)
		}
	}
	for node, s := range h.final {
		for name, revision := range newest {
			o := s.Get(config.Ref{Kind: config.KindDataCentre, Name: name})
			if o == nil || o.Revision != revision {
				problems = append(problems, fmt.Sprintf("node %d lost the change of %s at revision %d", node, name, revision))
			}
		}
	}
	return problems
}

const (
	racingOperators = 6
	racingChanges   = 25
	racingObjects   = 2
)
