package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/common/rendezvous"
)

const (
	// pulsePeriod is long enough for load to build up on an endpoint, and short enough for two pulses before the hand-over of an order
	// of 12 s.
	pulsePeriod = 4 * time.Second
	// minPulseShare is the share, relative to the load of an old endpoint, below which requests are sent in pulses.
	minPulseShare = 0.7
	// pulseFactor allows for nodes that have used up their exposure when they draw.
	pulseFactor = 2
)

// Canary is the order in which the endpoints of a target are used for the canary share. All nodes that know the same endpoints have
// the same order, and a change of the endpoints moves only those that were added or removed. It is immutable.
//
// If the share is too small for one endpoint to get the load of an old one, the requests of the canary share are sent in pulses, so
// that a fault under load is seen all the same.
type Canary struct {
	endpoints []string
	size      int
	// open is the part of each pulse period in which requests go to the target, and probability that with which they do so.
	open, probability float64
}

// NewCanary returns the order of the target's endpoints. old is the number of endpoints of the old versions. The number of endpoints
// that are used at a time gives each of them about the load of an old one, so that a fault under load is seen.
func NewCanary(o Order, share float64, old int, target []string) Canary {
	key := fmt.Sprintf("%s\x00%s\x00%d", o.Service, o.Target, o.Revision)
	endpoints := slices.Clone(target)
	slices.SortFunc(endpoints, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Score(key, b), rendezvous.Score(key, a)), cmp.Compare(a, b))
	})
	size := max(1, int(math.Round(share*float64(old)/(1-share))))
	c := Canary{endpoints: endpoints, size: size, open: 1, probability: 1}
	if fair := float64(size) / float64(old+size); share < minPulseShare*fair {
		c.open, c.probability = share/fair, min(1, pulseFactor*fair)
	}
	return c
}

// Admits reports whether a request may go to the target at a time since the order, as far as the load of its endpoints is concerned.
// draw is a random number from 0 to 1.
func (c Canary) Admits(elapsed time.Duration, draw float64) bool {
	position := float64(elapsed%pulsePeriod) / float64(pulsePeriod)
	return draw < c.probability && math.Abs(position-0.5) <= c.open/2
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
