package soak

import "time"

// rolloutRecord is what operators saw of the roll-out of a run.
type rolloutRecord struct {
	rolloutPlan
	ordered time.Time
	// badFrom is the time from which the target failed; zero if it is good.
	badFrom time.Time
	// states holds the states that were read, each once it differed from the one before, and finalAt the time of the first final one.
	states  []string
	finalAt time.Time
}

// final returns the first final state; empty if there was none.
func (r *rolloutRecord) final() string {
	for _, state := range r.states {
		if state == stateCompleted || state == stateReverted {
			return state
		}
	}
	return ""
}
