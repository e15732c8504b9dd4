package rollout

import (
	"slices"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// Reasons of plans that follow from an order alone.
const (
	reasonOrdered          = "ordered"
	reasonRepeated         = "ordered again with a new duration"
	reasonAlreadyCompleted = "the same version was completed before"
	reasonOrderRemoved     = "the order was removed"
	reasonNewAttempt       = "ordered again after it was reverted"
	reasonReplaced         = "ordered in place of another version"
)

// nextPlan returns the plan that follows from the order in force; nil if the present one stays. order is nil if operators removed
// it. versions lists the versions of the service's endpoints.
func nextPlan(order *rollout.Order, present *rollout.Plan, versions []string) *rollout.Plan {
	switch {
	case order == nil && (present == nil || present.Phase.IsFinal()):
		return nil
	case order == nil:
		next := *present
		next.Phase, next.Reason = rollout.Reverted, reasonOrderRemoved
		return &next
	case present == nil:
		return &rollout.Plan{Order: *order, Phase: rollout.Observing, OldVersions: oldVersions(order, nil, versions), Reason: reasonOrdered}
	case order.Revision <= present.Order.Revision:
		return nil
	case order.Target == present.Order.Target && present.Phase != rollout.Reverted:
		next := *present
		next.Order, next.Reason = *order, reasonRepeated
		if present.Phase == rollout.Completed {
			next.Reason = reasonAlreadyCompleted
		}
		return &next
	}
	next := &rollout.Plan{Order: *order, Phase: rollout.Observing, OldVersions: oldVersions(order, present, versions), Reason: reasonReplaced}
	if order.Target == present.Order.Target {
		next.Reason = reasonNewAttempt
	}
	return next
}

// oldVersions returns the versions that serve before an order. The versions that the plan before replaced have been stopped, and the
// target of a plan that was not completed has never served all traffic.
func oldVersions(order *rollout.Order, before *rollout.Plan, versions []string) []string {
	var old []string
	switch {
	case before == nil:
		old = slices.Clone(versions)
	case before.Phase == rollout.Completed:
		old = slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return before.Group(v) == rollout.OldGroup })
		old = append(old, before.Order.Target)
	default:
		old = slices.Clone(before.OldVersions)
	}
	old = slices.DeleteFunc(old, func(v string) bool { return v == order.Target })
	slices.Sort(old)
	return slices.Compact(old)
}
