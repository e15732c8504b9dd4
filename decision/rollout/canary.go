package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"azuredyke.dev/azuredyke/common/rendezvous"
)

// Canary is the order in which the endpoints of a target are used for the canary share. All nodes that know the same endpoints have
// the same order, and a change of the endpoints moves only those that were added or removed. It is immutable.
type Canary struct {
	endpoints []string
	size      int
}

// NewCanary returns the order of the target's endpoints. old is the number of endpoints of the old versions. The number of endpoints
// that are used at a time gives each of them about the load of an old one, so that a fault under load is seen.
func NewCanary(o Order, share float64, old int, target []string) Canary {
	key := fmt.Sprintf("%s\x00%s\x00%d", o.Service, o.Target, o.Revision)
	endpoints := slices.Clone(target)
	slices.SortFunc(endpoints, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Score(key, b), rendezvous.Score(key, a)), cmp.Compare(a, b))
	})
	return Canary{endpoints: endpoints, size: max(1, int(math.Round(share*float64(old)/(1-share))))}
}

// Choose returns the endpoints that are used now: the first ones of the order that admit requests.
func (c Canary) Choose(admits func(endpoint string) bool) []string {
	chosen := make([]string, 0, min(c.size, len(c.endpoints)))
	for _, e := range c.endpoints {
		if len(chosen) == c.size {
			break
		}
		if admits(e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}
