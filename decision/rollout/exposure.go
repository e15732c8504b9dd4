package rollout

import "math/rand/v2"

// excessRequests is the expected number of requests beyond the share that all nodes together may send to the target. It is below
// the permitted slack of 50 so that, with a share of 0.08 instead of the permitted 0.1, the sum is 5 standard deviations below the bound.
const excessRequests = 20

// Exposure bounds the requests that one node sends to the target of a roll-out. One task owns it.
//
// Each node limits itself to a share of its own sends, so that the sum over all nodes keeps the limit without a message. Most nodes
// send too few requests for the share to permit a whole one. Each process therefore draws its credit: a uniform part below 1, which
// makes the expected number equal to the share, and its part of excessRequests.
type Exposure struct {
	share         float64
	sends, target float64
	// credit is the number of requests to the target that the node may send beyond its share.
	credit float64
}

// NewExposure returns the bound of a process that has sent nothing since it saw the order. nodes is the number of nodes that share
// the bound; 0 gives no part of the excess, as for a process that was started after the order.
func NewExposure(r *rand.Rand, share float64, nodes int) *Exposure {
	e := &Exposure{share: share, credit: r.Float64()}
	if nodes > 0 {
		e.credit += excessRequests / float64(nodes)
	}
	return e
}

// RecordSend counts a request that was sent to an endpoint of a group. Repeated runs of a request are counted for the target only,
// since the bound is a share of the requests.
func (e *Exposure) RecordSend(g Group) {
	e.sends++
	if g == TargetGroup {
		e.target++
	}
}

// AllowsTarget reports whether the next request may go to the target.
func (e *Exposure) AllowsTarget() bool { return e.target+1 <= e.share*(e.sends+1)+e.credit }
