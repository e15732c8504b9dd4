package gather

import "azuredyke.dev/azuredyke/decision/dispatch"

func sum(endpoint string, a, b dispatch.Load) dispatch.Load {
	return dispatch.Load{
		Endpoint: endpoint, InFlight: a.InFlight + b.InFlight, Tokens: a.Tokens + b.Tokens, Prefill: a.Prefill + b.Prefill,
	}
}

func difference(endpoint string, a, b dispatch.Load) dispatch.Load {
	return dispatch.Load{
		Endpoint: endpoint, InFlight: a.InFlight - b.InFlight, Tokens: a.Tokens - b.Tokens, Prefill: a.Prefill - b.Prefill,
	}
}

// negated returns the changes that undo loads.
func negated(loads []dispatch.Load) []dispatch.Load {
	changes := make([]dispatch.Load, len(loads))
	for i, l := range loads {
		changes[i] = difference(l.Endpoint, dispatch.Load{}, l)
	}
	return changes
}

// busy returns the loads of endpoints that have any, in the order of the endpoints.
func busy(endpoints []string, of func(endpoint string) dispatch.Load) []dispatch.Load {
	var loads []dispatch.Load
	for _, id := range endpoints {
		if l := of(id); !idle(l) {
			loads = append(loads, l)
		}
	}
	return loads
}

// idle reports whether there is no load.
func idle(l dispatch.Load) bool { return l.InFlight == 0 && l.Tokens == 0 && l.Prefill == 0 }

// urgent reports whether a change must be known before the next prompt is placed. Plain calls end sooner than the news of
// them would arrive.
func urgent(change dispatch.Load) bool { return change.Tokens != 0 || change.Prefill != 0 }
