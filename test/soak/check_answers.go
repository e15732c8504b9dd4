package soak

import (
	"fmt"
	"strings"
)

// findWrongAnswers finds responses whose status is not one of HTTP, and success responses that are not a worker's complete answer to the
// same request.
func findWrongAnswers(h *history) []string {
	var found []string
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.status != 0 && (a.status < 200 || a.status > 599) {
			found = append(found, fmt.Sprintf("%s has the status %d", a.id, a.status))
		}
		if a.status < 200 || a.status > 299 {
			continue
		}
		switch {
		case !a.hasSignature:
			found = append(found, a.id+" has a success status but no worker signature")
		case !a.echoesID:
			found = append(found, a.id+" received another request's answer")
		case a.isStream() && a.complete() && len(a.events) != eventsOf(a.path):
			found = append(found, fmt.Sprintf("%s ended without an error after %d events", a.id, len(a.events)))
		case !a.isStream() && a.complete() && !strings.Contains(a.body, " "+a.path+" by "):
			found = append(found, fmt.Sprintf("%s has the body %q", a.id, a.body))
		}
	}
	return found
}

// findWrongEvents finds streams with missing, duplicate or reordered events, or with events of another request or generation.
func findWrongEvents(h *history) []string {
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
			case a.runsAtMostOnce() && e.data != a.events[0].data:
				found = append(found, fmt.Sprintf("event %d of %s belongs to generation %q, not %q", n+1, a.id, e.data, a.events[0].data))
			default:
				continue
			}
			break
		}
	}
	return found
}

// findDuplicateRuns finds at-most-once requests that were started from the beginning more than once.
func findDuplicateRuns(h *history) []string {
	var found []string
	attempts := h.byID()
	for id, runs := range h.runsOf() {
		fresh := 0
		for _, r := range runs {
			if !r.Continued {
				fresh++
			}
		}
		if a := attempts[id]; a != nil && a.runsAtMostOnce() && fresh > 1 {
			found = append(found, fmt.Sprintf("%s was started %d times", id, fresh))
		}
	}
	return found
}

// findFalseRefusals finds at-most-once requests that ran although the response promised that they had not.
func findFalseRefusals(h *history) []string {
	var found []string
	attempts := h.byID()
	for id, runs := range h.runsOf() {
		if a := attempts[id]; a != nil && a.runsAtMostOnce() && a.refusedAsNotRun() {
			found = append(found, fmt.Sprintf("%s was answered %d and ran at %s", id, a.status, runs[0].Worker))
		}
	}
	return found
}

// findUnrequestedRuns finds runs that no caller requested, or whose path or credentials are wrong.
func findUnrequestedRuns(h *history) []string {
	var found []string
	attempts := h.byID()
	for _, r := range h.workers.Runs {
		a := attempts[r.Request]
		switch {
		case a == nil:
			found = append(found, fmt.Sprintf("%s ran %q (%s), which no caller sent", r.Worker, r.Request, r.Path))
		case r.Path != a.path:
			found = append(found, fmt.Sprintf("%s ran %s with the path %s", r.Worker, a.id, r.Path))
		case r.Workspace == "" || r.Authorization != "":
			found = append(found, fmt.Sprintf("%s ran %s for workspace %q with key %q", r.Worker, a.id, r.Workspace, r.Authorization))
		}
	}
	return found
}
