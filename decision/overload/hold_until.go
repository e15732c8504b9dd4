package overload

import "time"

const (
	// minCallerPatience, objectivePatience and gapPatience give the time after which callers without an answer leave: 2 s, four times
	// the objective for the first event or eight times that for the time between events, whichever is longest.
	minCallerPatience = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// HoldUntil returns the time until which a request may wait: until its caller is expected to leave, or until only the expected time
// of its run remains before its deadline.
func HoldUntil(arrived, deadline time.Time, objective, gap, runTime time.Duration) time.Time {
	leaves := arrived.Add(max(minCallerPatience, objectivePatience*objective, gapPatience*gap))
	if last := deadline.Add(-runTime); last.Before(leaves) {
		return last
	}
	return leaves
}
