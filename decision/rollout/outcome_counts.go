package rollout

import "math"

// outcomeCounts holds a number of outcomes and how many of them were bad.
type outcomeCounts struct {
	all, bad float64
}

// minus returns the outcomes since an earlier count. A bad outcome may be known later than the response that was counted with it, so
// there may be more bad outcomes than outcomes.
func (c outcomeCounts) minus(earlier outcomeCounts) outcomeCounts {
	bad := max(0, c.bad-earlier.bad)
	return outcomeCounts{all: max(bad, c.all-earlier.all), bad: bad}
}

// plus returns the sum of two counts.
func (c outcomeCounts) plus(o outcomeCounts) outcomeCounts {
	return outcomeCounts{all: c.all + o.all, bad: c.bad + o.bad}
}

// logLikelihoodRatio returns the logarithm of the likelihood of the counts when a share of the outcomes is bad with a fault, relative
// to the likelihood with the usual share.
func (c outcomeCounts) logLikelihoodRatio(usual, faulty float64) float64 {
	if c.all == 0 {
		return 0
	}
	return c.bad*math.Log(faulty/usual) + (c.all-c.bad)*math.Log((1-faulty)/(1-usual))
}
