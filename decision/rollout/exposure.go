package rollout

import "math/rand/v2"

// Exposure bounds the requests that one node sends to the target of a roll-out. One task owns it.
type Exposure struct {
	share         float64
	sends, target float64
	// credit is the number of requests to the target that the node may send beyond its share.
	credit float64
}

// NewExposure returns the bound of a process that has sent nothing since it saw the order. nodes is the number of nodes that share
// the bound.
func NewExposure(_ *rand.Rand, share float64, _ int) *Exposure { return &Exposure{share: share} }

// RecordSend counts a request that was sent to an endpoint of a group.
func (e *Exposure) RecordSend(g Group) {
	e.sends++
	if g == TargetGroup {
		e.target++
	}
}

// AllowsTarget reports whether the next request may go to the target.
func (e *Exposure) AllowsTarget() bool { return e.target+1 <= e.share*(e.sends+1)+e.credit }
