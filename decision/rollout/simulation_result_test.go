package rollout

import "fmt"

// simulationResult sums the results of the runs of a case.
type simulationResult struct {
	runs, completed, reverted, open int
	// overExposed counts runs with more requests to the target than permitted, sentLate requests later than 5 s after the 50th bad answer.
	overExposed, sentLate int
	// promoted counts runs that began to promote.
	promoted int
	// excess is the largest number of requests to the target minus the permitted number.
	excess float64
	// targetSends and sends count requests.
	targetSends, sends int
	// reasons counts the reasons of reverts by phase.
	reasons map[string]int
}

func (r *simulationResult) add(o simulationResult) {
	if r.runs == 0 {
		r.excess = o.excess
	}
	r.runs += o.runs
	r.completed += o.completed
	r.reverted += o.reverted
	r.open += o.open
	r.overExposed += o.overExposed
	r.sentLate += o.sentLate
	r.promoted += o.promoted
	r.excess = max(r.excess, o.excess)
	r.targetSends += o.targetSends
	r.sends += o.sends
	if r.reasons == nil {
		r.reasons = map[string]int{}
	}
	for k, n := range o.reasons {
		r.reasons[k] += n
	}
}

func (r *simulationResult) String() string {
	return fmt.Sprintf("%d runs: %d completed, %d reverted, %d open; %d promoted, %d over exposure, excess at most %.0f, %d sent late, %.1f of 100 requests to the target",
		r.runs, r.completed, r.reverted, r.open, r.promoted, r.overExposed, r.excess, r.sentLate, 100*float64(r.targetSends)/float64(r.sends))
}
