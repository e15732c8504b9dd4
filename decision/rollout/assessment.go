package rollout

import "time"

// maxColdTime bounds the time after the first response of the target in which slow answers are not held against it, since its
// endpoints have just started. Within this time the canary share alone bounds the exposure.
const maxColdTime = 4 * time.Second

const (
	// minOutcomes is the number of outcomes of the target that is needed on each route with at least scarceShare of the requests.
	minOutcomes = 5
	scarceShare = 0.1
)

// assessment is the evidence for and against a fault of the target at one moment.
type assessment struct {
	// fault is the likelihood ratio of a fault by any measure, on all routes or on one, from any time on. When there is no fault, it
	// ever exceeds a value x with a probability of at most 1/x, as far as the usual shares are known.
	fault float64
	// doubt is the largest weight of a fault that may have begun, over the measures. It is 1 without evidence.
	doubt float64
	// unsettled means that the old versions have a fault at the moment, so that the target could not be judged after promoting.
	unsettled bool
	// scarce describes a comparison with too few outcomes of the target. It is empty if there is none.
	scarce string
	// worst describes the comparison with the strongest evidence for a fault.
	worst string
}

// assess compares the target with the old versions by all measures. onsets is the number of periods of the roll-out.
func assess(h *history, onsets int) assessment {
	a := assessment{}
	worst := -1.0
	total := 0.0
	routes := h.newest().tally.routes()
	for _, r := range routes {
		total += float64(h.newest().entry(OldGroup, r).responded())
	}
	if total == 0 {
		a.doubt = 1
	}
	for m := range measures {
		fault, doubt, weight := 0.0, 0.0, 0.0
		comparisons := make([]*comparison, 0, len(routes))
		for _, r := range routes {
			c, known := newComparison(h, m, r)
			if !known {
				continue
			}
			comparisons = append(comparisons, c)
			// A fault on one route is as likely as the route's share of the requests.
			share := min(1, c.oldSum.all/max(1, total))
			weight += share
			if share >= scarceShare && c.targetSum.all < minOutcomes {
				a.scarce = c.describe()
			}
			a.unsettled = a.unsettled || m != intervalMeasure && c.isUnsettled()
			routeFault, routeDoubt := ratios(h, onsets, c)
			fault += share * routeFault / 2
			doubt += share * routeDoubt / 2
			if routeFault > worst {
				worst, a.worst = routeFault, c.describe()
			}
		}
		weight = min(1, weight)
		pooledFault, pooledDoubt := ratios(h, onsets, comparisons...)
		a.fault += (fault + weight*pooledFault/2) / float64(measures)
		a.doubt = max(a.doubt, doubt+weight*pooledDoubt/2)
	}
	return a
}

// ratios returns the likelihood ratio of a fault over all onsets, and over those that lie in the past, for comparisons by one
// measure that a fault affects together.
func ratios(h *history, onsets int, comparisons ...*comparison) (fault, doubt float64) {
	if len(comparisons) == 0 {
		return 1, 1
	}
	promoted := h.promotedPeriod()
	shares := faultShares[comparisons[0].measure]
	for i, share := range shares {
		l := likelihoodOf(h, share, comparisons)
		fault += l.mixture(onsets, promoted) / float64(len(shares))
		if i > 0 {
			doubt = max(doubt, l.past())
		}
	}
	return fault, doubt
}

// likelihoodOf returns the likelihood ratios of comparisons by one measure for a fault that turns a share of the good outcomes bad.
func likelihoodOf(h *history, faultShare float64, comparisons []*comparison) likelihood {
	m := comparisons[0].measure
	l := make(likelihood, len(h.snapshots)-1)
	begin := 0
	if m != failureMeasure {
		begin = h.coldPeriods()
	}
	for period := begin; period < len(l); period++ {
		for cell := range comparisons[0].target[period] {
			sum := 0.0
			for _, c := range comparisons {
				usual := c.usual[period]
				sum += c.target[period][cell].logLikelihoodRatio(usual, usual+faultShare*(1-usual))
			}
			l[period] += min(cellBound(m, h.snapshots[period+1].phase), sum)
		}
	}
	return l
}
