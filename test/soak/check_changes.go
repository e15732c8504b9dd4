package soak

import (
	"fmt"
	"net/http"
	"slices"
)

// findRevokedKeyRuns finds runs of requests that were sent more than revokeBound after their key was revoked. The bound also
// applies to nodes that cannot reach the store.
func findRevokedKeyRuns(h *history) []string {
	var found []string
	runs := h.runsOf()
	for i := range h.attempts {
		a := &h.attempts[i]
		revokedAt, ok := h.operatorState.revoked[a.key]
		if ok && a.sentAt.After(revokedAt.Add(revokeBound)) && len(runs[a.id]) > 0 {
			found = append(found, fmt.Sprintf("%s was sent %v after its key was revoked and ran", a.id, a.sentAt.Sub(revokedAt)))
		}
	}
	return found
}

// findWrongDenials finds requests on a permanent route that were rejected with 400, 403 or 404, or with 401 although they used
// the permanent key.
func findWrongDenials(h *history) []string {
	var found []string
	permanentRoutes := []string{routeNote, routeReply, routeBooking, routeLookup}
	for i := range h.attempts {
		a := &h.attempts[i]
		if !slices.Contains(permanentRoutes, a.route) || a.hasSignature {
			continue
		}
		denied := a.status == http.StatusNotFound || a.status == http.StatusUnauthorized && a.key == h.operatorState.keys[0]
		if denied || a.status == http.StatusForbidden || a.status == http.StatusBadRequest {
			found = append(found, fmt.Sprintf("%s was answered %d at node %d", a.id, a.status, a.node))
		}
	}
	return found
}

// findLateChanges finds requests that a node handled by an outdated configuration more than applyBound after the change.
func findLateChanges(h *history) []string {
	var found []string
	for i := range h.attempts {
		a := &h.attempts[i]
		if !h.nodeUndisturbed(a.node, a.sentAt, a.endedAt) {
			continue
		}
		added, wasAdded := h.operatorState.addedAt[a.route]
		dropped, wasDropped := h.operatorState.droppedAt[a.route]
		if wasAdded && !wasDropped && a.sentAt.After(added.Add(applyBound)) && a.status == http.StatusNotFound {
			found = append(found, fmt.Sprintf("%s: route not found %v after it was added", a.id, a.sentAt.Sub(added)))
		}
		if wasDropped && a.sentAt.After(dropped.Add(applyBound)) && a.hasSignature {
			found = append(found, fmt.Sprintf("%s: served %v after the route was dropped", a.id, a.sentAt.Sub(dropped)))
		}
		if revoked, ok := h.operatorState.revoked[a.key]; ok && a.sentAt.After(revoked.Add(applyBound)) && a.hasSignature {
			found = append(found, fmt.Sprintf("%s: served %v after its key was revoked", a.id, a.sentAt.Sub(revoked)))
		}
	}
	return found
}
