package rollout

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// exposureNode is a node of the property test. It sends to the old version while it is partitioned.
type exposureNode struct {
	exposure    *Exposure
	partitioned bool
}

// Guards against a sum over all nodes that exceeds the users' bound: many nodes with few requests each, uneven load, processes that
// are restarted and lose their counts, and nodes without contact.
func TestSumOfExposuresKeepsTheBound(t *testing.T) {
	for _, nodes := range []int{1, 6, 63, 72, 87, 1500} {
		for _, total := range []int{20, 100, 500, 1056, 2500, 20_000} {
			excess := 0.0
			const seeds = 100
			for seed := range uint64(seeds) {
				r := rand.New(rand.NewPCG(seed, uint64(nodes*total)))
				all := make([]exposureNode, nodes)
				for i := range all {
					all[i].exposure = NewExposure(r, simulatedShare, nodes)
				}
				target := 0
				for range total {
					// Half of the requests go to a tenth of the nodes.
					n := &all[r.IntN(nodes)]
					if r.IntN(2) == 0 {
						n = &all[r.IntN(nodes/10+1)]
					}
					switch r.IntN(200) {
					case 0:
						n.exposure = NewExposure(r, simulatedShare, 0)
					case 1:
						n.partitioned = !n.partitioned
					}
					g := OldGroup
					if !n.partitioned && n.exposure.AllowsTarget() {
						g = TargetGroup
						target++
					}
					n.exposure.RecordSend(g)
				}
				assert.Assert(t, float64(target) <= permittedShare*float64(total)+permittedSlack,
					"%d nodes, seed %d: %d of %d requests", nodes, seed, target, total)
				excess += float64(target) - simulatedShare*float64(total)
			}
			assert.Assert(t, excess/seeds <= excessRequests+3, "%d nodes, %d requests: mean excess %.1f", nodes, total, excess/seeds)
		}
	}
}

// Guards against nodes that send nothing to the target because their own share is below one request.
func TestManyNodesWithFewRequestsUseTheShare(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	target := 0
	for range 1500 {
		e := NewExposure(r, simulatedShare, 1500)
		for range 2 {
			g := OldGroup
			if e.AllowsTarget() {
				g = TargetGroup
				target++
			}
			e.RecordSend(g)
		}
	}
	assert.Assert(t, target > 180 && target < 340, "%d of 3000 requests", target)
}
