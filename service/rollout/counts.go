package rollout

import (
	"context"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// Counts gives a Decider the evidence about roll-outs. A Manager implements it.
type Counts interface {
	// Evidence returns an error if ctx ends first.
	Evidence(ctx context.Context, p *rollout.Plan) (rollout.Evidence, error)
	// OfferStop applies a stop notice on this node.
	OfferStop(Stop)
}
