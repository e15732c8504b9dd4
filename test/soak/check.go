package soak

import "fmt"

// check finds breaches of one promise.
type check struct {
	name string
	// timed is set for promises with a time bound. CI skips them, because they depend on the load of the machine.
	timed bool
	find  func(h *history) []string
}

// checks holds the checks of all promises.
var checks = []check{
	{"answers are whole and belong to their requests", false, findWrongAnswers},
	{"events come once and in order, from one generation", false, findWrongEvents},
	{"requests that may run once do not run twice", false, findDuplicateRuns},
	{"refusals are true", false, findFalseRefusals},
	{"endpoints run only what callers sent", false, findUnrequestedRuns},
	{"revoked keys are not served", true, findRevokedKeyRuns},
	{"a good key is never refused", false, findWrongDenials},
	{"changes are in force in time", true, findLateChanges},
	{"leaving endpoints get no new work", true, findWorkForLeaving},
	{"endpoints that say they leave get no new work", true, findWorkAfterSaidLeaving},
	{"endpoints that want a pause get it", true, findWorkInPause},
	{"endpoints get no more than the limit they name", true, findWorkOverLimit},
	{"data centres that are out get no new work", true, findWorkForEvacuated},
	{"repeats keep to the budget", false, findExcessRepeats},
	{"cold endpoints bear what they get", false, findColdExcess},
	{"planned work cuts no request", true, findCutRequests},
	{"work stops when its caller has left", true, findAbandonedRuns},
	{"a run goes on at one endpoint at a time", true, findOverlappingRuns},
	{"processes end only when told to", false, findUnexpectedExits},
	{"the logs explain each failure", false, findUnloggedFailures},
	{"final states of roll-outs stay, and no failing version is completed", false, findWrongFinalStates},
	{"a failing version gets at most its exposure", false, findExcessExposure},
	{"a failing version gets nothing after its rollback", true, findLateRollbacks},
	{"replaced versions get nothing", true, findReplacedVersions},
	{"every node serves again after the last fault", false, func(h *history) []string { return h.unrecovered }},
}

// findBreaches returns the findings of all checks, without the timed ones unless timed is set.
func findBreaches(h *history, timed bool) []string {
	var found []string
	for _, c := range checks {
		if c.timed && !timed {
			continue
		}
		for _, one := range c.find(h) {
			found = append(found, fmt.Sprintf("%s: %s", c.name, one))
		}
	}
	return found
}
