package soak

import (
	"fmt"
	"strings"
)

// findMixed finds successes that are not the whole answer of a worker to the request.
func findMixed(h *history) []string {
	var found []string
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.status < 200 || a.status > 299 {
			continue
		}
		switch {
		case !a.signed:
			found = append(found, a.id+" is a success without a signature")
		case !a.echoed:
			found = append(found, a.id+" is answered with another request's answer")
		case a.streams() && a.whole() && len(a.events) != eventCount:
			found = append(found, fmt.Sprintf("%s ends as complete after %d events", a.id, len(a.events)))
		case !a.streams() && a.whole() && !strings.Contains(a.body, " "+a.path+" by "):
			found = append(found, fmt.Sprintf("%s has the body %q", a.id, a.body))
		}
	}
	return found
}

// findDisorder finds streams with events that are missing, doubled or of another generation.
func findDisorder(h *history) []string {
	var found []string
	for i := range h.attempts {
		a := &h.attempts[i]
		for n, e := range a.events {
			_, request, _ := strings.Cut(e.data, " of ")
			switch {
			case e.id != fmt.Sprint(n+1):
				found = append(found, fmt.Sprintf("event %d of %s has the id %s", n+1, a.id, e.id))
			case request != a.id:
				found = append(found, fmt.Sprintf("event %d of %s is %q", n+1, a.id, e.data))
			case a.runsOnce() && e.data != a.events[0].data:
				found = append(found, fmt.Sprintf("event %d of %s is of generation %q, not %q", n+1, a.id, e.data, a.events[0].data))
			default:
				continue
			}
			break
		}
	}
	return found
}

// findTwice finds requests that were started afresh more than once although they may run once.
func findTwice(h *history) []string {
	var found []string
	attempts := h.byID()
	for id, runs := range h.runsOf() {
		fresh := 0
		for _, r := range runs {
			if !r.Continued {
				fresh++
			}
		}
		if a := attempts[id]; a != nil && a.runsOnce() && fresh > 1 {
			found = append(found, fmt.Sprintf("%s was started %d times", id, fresh))
		}
	}
	return found
}

// findFalseRefusals finds requests that were said not to have run, and have.
func findFalseRefusals(h *history) []string {
	var found []string
	attempts := h.byID()
	for id, runs := range h.runsOf() {
		if a := attempts[id]; a != nil && a.runsOnce() && a.refusedAsNotRun() {
			found = append(found, fmt.Sprintf("%s was answered %d and ran at %s", id, a.status, runs[0].Worker))
		}
	}
	return found
}

// findUnasked finds runs that no caller asked for, or not so.
func findUnasked(h *history) []string {
	var found []string
	attempts := h.byID()
	for _, r := range h.workers.Runs {
		a := attempts[r.Request]
		switch {
		case a == nil:
			found = append(found, fmt.Sprintf("%s ran %q, which nobody sent", r.Worker, r.Request))
		case r.Path != a.path:
			found = append(found, fmt.Sprintf("%s ran %s as %s", r.Worker, a.id, r.Path))
		case r.Workspace == "" || r.Authorization != "":
			found = append(found, fmt.Sprintf("%s ran %s for workspace %q with key %q", r.Worker, a.id, r.Workspace, r.Authorization))
		}
	}
	return found
}
