package rollout

const (
	// maxUsualShare keeps ratios finite.
	maxUsualShare = 0.95
	// canaryCellBound bounds what the failures of one shard in one period add to the evidence for a fault, and fullCellBound does while
	// the target gets all requests, at more endpoints. An endpoint that ends takes all its runs with it at one moment, which must not
	// weigh more than a few independent failures.
	canaryCellBound, fullCellBound = 1.5, 2.5
	// canaryPeriodBound and fullPeriodBound are the bounds for slow answers of one period, which are not counted by shard.
	canaryPeriodBound, fullPeriodBound = 3, 6
)

// faultShares holds the shares of otherwise good outcomes that a fault turns bad, by measure. Bad versions fail 20 to 60 of 100
// requests, or slow down most of their answers. The first share of each measure is that of a fault which affects half of the
// endpoints: it counts as evidence, but too few answers come from a canary to rule it out.
var faultShares = [measures][3]float64{
	failureMeasure:    {0.1, 0.2, 0.45},
	firstEventMeasure: {0.25, 0.4, 0.8},
	intervalMeasure:   {0.25, 0.4, 0.8},
}

// minUsualShares holds the shares that are assumed to be bad at least, for faults of single endpoints and hosts.
var minUsualShares = [measures]float64{failureMeasure: 0.02, firstEventMeasure: 0.06, intervalMeasure: 0.06}

// cellBound returns the bound of the evidence of one cell for a measure in a phase.
func cellBound(m measure, p Phase) float64 {
	switch {
	case m != failureMeasure && p == Promoting:
		return fullPeriodBound
	case m != failureMeasure:
		return canaryPeriodBound
	case p == Promoting:
		return fullCellBound
	default:
		return canaryCellBound
	}
}
