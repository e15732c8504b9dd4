package soak

import "fmt"

// check looks for breaches of one promise.
type check struct {
	name string
	// timed is set for promises with a bound of time. CI leaves them out, since they depend on how busy the machine is.
	timed bool
	find  func(h *history) []string
}

// checks are all promises that are looked at.
var checks = []check{
	{"answers are whole and belong to their requests", false, findMixed},
	{"events come once and in order, from one generation", false, findDisorder},
	{"requests that may run once do not run twice", false, findTwice},
	{"refusals are true", false, findFalseRefusals},
	{"endpoints run only what callers sent", false, findUnasked},
	{"revoked keys are not served", true, findRevoked},
	{"a good key is never refused", false, findDenied},
	{"changes are in force in time", true, findLateChanges},
	{"leaving endpoints get no new work", true, findWorkForLeaving},
	{"data centres that are out get no new work", true, findWorkForOut},
	{"repeats keep to the budget", false, findRepeats},
	{"cold endpoints bear what they get", false, findColdExcess},
	{"planned work cuts no request", true, findLost},
	{"work stops when its caller has left", true, findUnwanted},
	{"a run goes on at one endpoint at a time", true, findOverlaps},
	{"processes end only when told to", false, findOwnEnds},
	{"the logs explain each failure", false, findUnexplained},
	{"every node serves again after the last fault", false, func(h *history) []string { return h.silent }},
}

// breaches returns what the checks find.
func breaches(h *history, timed bool) []string {
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
