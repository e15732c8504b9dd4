package gather

import "azuredyke.dev/azuredyke/decision/dispatch"

// pendingUpdate is an update whose loads have not been filled in, because they differ between receivers.
type pendingUpdate struct {
	epoch, seq       uint64
	full             bool
	changedEndpoints []string
}

// build returns the update with the loads for one receiver. A full update holds the non-zero loads of the loaded endpoints.
func (u pendingUpdate) build(loadedEndpoints []string, load func(endpoint string) dispatch.Load) Update {
	result := Update{Epoch: u.epoch, Seq: u.seq, Full: u.full}
	if u.full {
		result.Loads = nonZeroLoads(loadedEndpoints, load)
		return result
	}
	for _, id := range u.changedEndpoints {
		l := load(id)
		l.Endpoint = id
		result.Loads = append(result.Loads, l)
	}
	return result
}
