package configuration

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"azuredyke.dev/azuredyke/decision/config"
)

// changeInput is an operator's request to change an object at an expected revision.
type changeInput struct {
	object   string
	expected int64
}

// changeOutput is the answer to the operator.
type changeOutput struct {
	accepted bool
	// revision is the revision of an accepted change, or of the stored object in a conflict.
	revision int64
}

// history records the answers to operators and the configurations in force on nodes.
type history struct {
	operations []porcupine.Operation
	// inForce holds the successive revisions in force on each node.
	inForce [][]int64
	// final holds the configuration in force on each node at the end.
	final []*config.Snapshot
}

// objectModel models an object as a register whose value is its revision. A change is accepted if and only if it expects
// that revision; a conflict returns the revision.
var objectModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byObject := map[string][]porcupine.Operation{}
		for _, op := range all {
			byObject[op.Input.(changeInput).object] = append(byObject[op.Input.(changeInput).object], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byObject {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(changeInput), output.(changeOutput)
		if out.accepted {
			return in.expected == state.(int64) && out.revision > state.(int64), out.revision
		}
		return in.expected != state.(int64) && out.revision == state.(int64), state
	},
}

// findProblems returns the violations in a history.
func (h *history) findProblems() []string {
	var problems []string
	if !porcupine.CheckOperations(objectModel, h.operations) {
		problems = append(problems, "the answers to the operators are not linearizable")
	}
	for node, revisions := range h.inForce {
		for i := 1; i < len(revisions); i++ {
			if revisions[i] <= revisions[i-1] {
				problems = append(problems, fmt.Sprintf("node %d: revision in force decreased or repeated: %d, then %d",
					node, revisions[i-1], revisions[i]))
			}
		}
	}
	newest := map[string]int64{}
	for _, op := range h.operations {
		if out := op.Output.(changeOutput); out.accepted {
			newest[op.Input.(changeInput).object] = max(newest[op.Input.(changeInput).object], out.revision)
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
