package gather

import "azuredyke.dev/azuredyke/decision/dispatch"

// pendingUpdate is an update before its receiver is known.
type pendingUpdate struct {
	epoch, seq uint64
	full       bool
	touched    []string
}

// of builds the update from the loads of the receiver's view.
func (u pendingUpdate) of(all []string, load func(endpoint string) dispatch.Load) Update {
	result := Update{Epoch: u.epoch, Seq: u.seq, Full: u.full}
	if u.full {
		result.Loads = busy(all, load)
		return result
	}
	for _, id := range u.touched {
		l := load(id)
		l.Endpoint = id
		result.Loads = append(result.Loads, l)
	}
	return result
}
