package soak

import (
	"fmt"
	"net/http"
	"slices"
)

// findRevoked finds runs of requests that were sent later than revokeBound after their key was taken away, at any node.
func findRevoked(h *history) []string {
	var found []string
	runs := h.runsOf()
	for i := range h.attempts {
		a := &h.attempts[i]
		acked, ok := h.operations.revoked[a.key]
		if ok && a.sentAt.After(acked.Add(revokeBound)) && len(runs[a.id]) > 0 {
			found = append(found, fmt.Sprintf("%s ran %v after its key was taken away", a.id, a.sentAt.Sub(acked)))
		}
	}
	return found
}

// findDenied finds requests that were refused for good with the key that every configuration has, on a route that every
// configuration has.
func findDenied(h *history) []string {
	var found []string
	lasting := []string{routeNote, routeReply, routeBooking, routeLookup}
	for i := range h.attempts {
		a := &h.attempts[i]
		if !slices.Contains(lasting, a.route) || a.signed {
			continue
		}
		denied := a.status == http.StatusNotFound || a.status == http.StatusUnauthorized && a.key == h.operations.keys[0]
		if denied || a.status == http.StatusForbidden || a.status == http.StatusBadRequest {
			found = append(found, fmt.Sprintf("%s was answered %d at node %d", a.id, a.status, a.node))
		}
	}
	return found
}

// findLateChanges finds requests that were handled by an older configuration later than applyBound after the newer one.
func findLateChanges(h *history) []string {
	var found []string
	for i := range h.attempts {
		a := &h.attempts[i]
		if !h.calm(a.node, a.sentAt, a.endedAt) {
			continue
		}
		added, wasAdded := h.operations.addedAt[a.route]
		dropped, wasDropped := h.operations.droppedAt[a.route]
		if wasAdded && !wasDropped && a.sentAt.After(added.Add(applyBound)) && a.status == http.StatusNotFound {
			found = append(found, fmt.Sprintf("%s: no route %v after it was added", a.id, a.sentAt.Sub(added)))
		}
		if wasDropped && a.sentAt.After(dropped.Add(applyBound)) && a.signed {
			found = append(found, fmt.Sprintf("%s: served %v after the route was dropped", a.id, a.sentAt.Sub(dropped)))
		}
		if revoked, ok := h.operations.revoked[a.key]; ok && a.sentAt.After(revoked.Add(applyBound)) && a.signed {
			found = append(found, fmt.Sprintf("%s: served %v after its key was taken away", a.id, a.sentAt.Sub(revoked)))
		}
	}
	return found
}
