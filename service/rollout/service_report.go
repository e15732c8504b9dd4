package rollout

import "azuredyke.dev/azuredyke/decision/rollout"

// ServiceReport holds the counts of one process for the roll-out of one service.
type ServiceReport struct {
	Service string `cbor:"1,keyasint"`
	// Revision is the revision of the order, and AgeMillis the time since the process saw it, on a clock that includes suspensions.
	Revision  int64 `cbor:"2,keyasint"`
	AgeMillis int64 `cbor:"3,keyasint"`
	// Phase is the phase that the process applies, by a plan for the order with PlanRevision.
	Phase        rollout.Phase `cbor:"4,keyasint"`
	PlanRevision int64         `cbor:"5,keyasint"`
	// OldRuns is the number of the process's requests that run on old endpoints.
	OldRuns int           `cbor:"6,keyasint,omitempty"`
	Tally   rollout.Tally `cbor:"7,keyasint"`
}

// confirms reports whether the process sends everything to the target and has no request on an old endpoint.
func (r *ServiceReport) confirms() bool {
	return r.Phase == rollout.Promoting && r.PlanRevision == r.Revision && r.OldRuns == 0
}
