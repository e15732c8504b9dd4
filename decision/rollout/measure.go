package rollout

// measure is one property by which the target is compared with the old versions.
type measure uint8

const (
	// failureMeasure compares the shares of failures.
	failureMeasure measure = iota
	// firstEventMeasure compares the shares of answers whose first event came late.
	firstEventMeasure
	// intervalMeasure compares the shares of answers with long times between their events.
	intervalMeasure
	measures
)

// String returns the name of the measure for reasons.
func (m measure) String() string {
	switch m {
	case failureMeasure:
		return "failures"
	case firstEventMeasure:
		return "slow first events"
	default:
		return "slow intervals"
	}
}
