package rollout

import "time"

// disturbance is something that happens to good and bad versions alike.
type disturbance uint8

const (
	calm disturbance = iota
	// commonFault makes requests to all endpoints fail or slow for 2 s.
	commonFault
	// killedOld and killedTarget end four endpoints at random times with all their runs, killedCanary two that get the canary share.
	killedOld
	killedTarget
	killedCanary
	// flapping takes a tenth of all endpoints out for 300 ms every 2 s, with all their runs.
	flapping
	// lyingHealth makes a tenth of all endpoints fail all requests for 500 ms every 4 s until nodes exclude them for 2 s.
	lyingHealth
	// coldTarget makes endpoints three times as slow in their first 3 s, which nodes know. In hiddenCold they don't.
	coldTarget
	hiddenCold
	// newDecider replaces the judge once.
	newDecider
)

// faultKind is the kind of a bad version.
type faultKind uint8

const (
	noFault faultKind = iota
	failing
	slow
)

// simulationCase is what is simulated.
type simulationCase struct {
	name    string
	service simulatedService
	disturbance
	fault faultKind
	// from and to bound the time of the first effect of the fault.
	from, to time.Duration
	// underLoad limits the fault to endpoints with at least 0.7 of the load of an old endpoint, oneRoute to a random route.
	underLoad, oneRoute bool
}

// showsEarly reports whether the fault shows at the canary share from the beginning. The exposure of other faults may exceed the bound
// when they show only after promoting; docs/measurements.md says how often.
func (c simulationCase) showsEarly() bool { return c.to == 0 && !c.underLoad && !c.oneRoute }
