package gather

import "azuredyke.dev/azuredyke/decision/dispatch"

// sum returns a plus b as the load of an endpoint.
func sum(endpoint string, a, b dispatch.Load) dispatch.Load {
	return dispatch.Load{
		Endpoint: endpoint, InFlight: a.InFlight + b.InFlight, Tokens: a.Tokens + b.Tokens, Prefill: a.Prefill + b.Prefill,
		SpeedSum: a.SpeedSum + b.SpeedSum, SpeedCount: a.SpeedCount + b.SpeedCount,
	}
}

// difference returns a minus b as the load of an endpoint.
func difference(endpoint string, a, b dispatch.Load) dispatch.Load {
	return dispatch.Load{
		Endpoint: endpoint, InFlight: a.InFlight - b.InFlight, Tokens: a.Tokens - b.Tokens, Prefill: a.Prefill - b.Prefill,
		SpeedSum: a.SpeedSum - b.SpeedSum, SpeedCount: a.SpeedCount - b.SpeedCount,
	}
}

// negated returns the changes that subtract loads.
func negated(loads []dispatch.Load) []dispatch.Load {
	changes := make([]dispatch.Load, len(loads))
	for i, l := range loads {
		changes[i] = difference(l.Endpoint, dispatch.Load{}, l)
	}
	return changes
}

// nonZeroLoads returns the loads of the endpoints that have any, in the order of the endpoints.
func nonZeroLoads(endpoints []string, load func(endpoint string) dispatch.Load) []dispatch.Load {
	var loads []dispatch.Load
	for _, id := range endpoints {
		if l := load(id); !isZero(l) {
			loads = append(loads, l)
		}
	}
	return loads
}

// isZero reports whether there is neither load nor a measured speed.
func isZero(l dispatch.Load) bool { return isSpeedOnly(l) && l.SpeedSum == 0 && l.SpeedCount == 0 }

// isSpeedOnly reports whether a change concerns at most the measured speed.
func isSpeedOnly(change dispatch.Load) bool {
	return change.InFlight == 0 && change.Tokens == 0 && change.Prefill == 0
}

// isUrgent reports whether other nodes need a change before they place their next prompt. Changes by plain calls are not
// urgent, because plain calls end before an update about them would arrive.
func isUrgent(change dispatch.Load) bool { return change.Tokens != 0 || change.Prefill != 0 }
