package edge

import (
	"strings"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/service/rollout"
)

// translateChange decodes one change of the store. Without the feature, nothing of roll-outs is decoded.
func (v *view) translateChange(e backing.WatchEvent) (fleet.Change, error) {
	if v.rollouts && strings.HasPrefix(e.Entry.Key, rollout.PlanPrefix) {
		return decodePlanChange(strings.TrimPrefix(e.Entry.Key, rollout.PlanPrefix), e)
	}
	change, err := v.translate(e)
	switch change.(type) {
	case fleet.OrderWritten, fleet.OrderRemoved:
		if !v.rollouts {
			return nil, nil
		}
	case fleet.OrderIgnored:
		if !v.rollouts {
			return nil, nil
		}
		v.ordersIgnored.Inc(1)
	}
	return change, err
}

func decodePlanChange(service string, e backing.WatchEvent) (fleet.Change, error) {
	if e.Deleted {
		return fleet.PlanRemoved{Service: service, Revision: e.Entry.ModRevision}, nil
	}
	plan, err := rollout.DecodePlan(service, e.Entry.Value)
	if err != nil {
		return nil, err
	}
	return fleet.PlanWritten{Plan: plan, Revision: e.Entry.ModRevision}, nil
}

// applyDecider applies a change of the decider's key.
func (v *view) applyDecider(e backing.WatchEvent) {
	v.decider = rollout.Holder{}
	if e.Deleted {
		return
	}
	node, err := rollout.DecodeHolder(e.Entry.Value)
	if err != nil {
		v.log.Warn("invalid entry of the decider", revisionField(e.Entry.ModRevision), logging.Cause(err))
	}
	v.decider = rollout.Holder{Node: node, Revision: e.Entry.ModRevision}
}
