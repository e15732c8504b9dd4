package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// slowFactor is the time of a slow answer relative to the median of the old versions. Bad versions are at least 3 times slower.
	slowFactor = 2.5
	// reportDelay is added before a request without a first event counts as slow, for the time that counts are under way.
	reportDelay = 750 * time.Millisecond
	// unusualDeviations is the number of standard deviations by which a period of the old versions differs from the others when a fault
	// strikes them. lastingDeviations is needed before a fault is assumed to go on: at 1.5, one period in ten would hide a bad target.
	unusualDeviations = 1.5
	lastingDeviations = 3.5
	// lastingPeriods is the number of periods for which a fault is assumed to go on.
	lastingPeriods = 4
	// priorWeight is the number of answers that the share of the whole roll-out counts for within an unusual period.
	priorWeight = 5
	// settledPeriods is the number of periods in which the old versions must be as usual before the target is promoted, unsettledShare
	// the share of bad outcomes above the usual one that shows a fault.
	settledPeriods = 2
	unsettledShare = 0.15
)

// comparison holds the outcomes of one measure on one route by period.
type comparison struct {
	measure measure
	route   string
	// limit is the bin at which an answer is slow.
	limit int
	// old holds the outcomes of the old versions, target those of the target by shard, for each period.
	old    []outcomeCounts
	target [][]outcomeCounts
	// usual is the share of bad outcomes that is usual in each period.
	usual []float64
	// oldSum and targetSum are the sums over all periods.
	oldSum, targetSum outcomeCounts
}

// newComparison returns the comparison by one measure on one route, and false if the old versions have no outcomes to compare with.
func newComparison(h *history, m measure, route string) (*comparison, bool) {
	c := &comparison{measure: m, route: route}
	newest := h.newest().entry(OldGroup, route)
	switch m {
	case failureMeasure:
		if newest.responded() == 0 {
			return nil, false
		}
	default:
		median, known := medianBin(c.bins(newest))
		if !known {
			return nil, false
		}
		c.limit = durationBin(time.Duration(slowFactor * float64(binStart(median+1))))
	}
	for i := 1; i < len(h.snapshots); i++ {
		c.addPeriod(h, &h.snapshots[i-1], &h.snapshots[i])
	}
	for period := range c.old {
		c.usual = append(c.usual, c.usualShare(period))
	}
	return c, true
}

// addPeriod adds the outcomes between two snapshots.
func (c *comparison) addPeriod(h *history, from, to *snapshot) {
	old := c.counts(h, to, OldGroup).minus(c.counts(h, from, OldGroup))
	c.old, c.oldSum = append(c.old, old), c.oldSum.plus(old)
	cells := make([]outcomeCounts, 0, endpointShards)
	if c.measure == failureMeasure {
		before, now := from.entry(TargetGroup, c.route), to.entry(TargetGroup, c.route)
		for i := range endpointShards {
			cells = append(cells, now.shard(i).minus(before.shard(i)))
		}
	} else {
		cells = append(cells, c.counts(h, to, TargetGroup).minus(c.counts(h, from, TargetGroup)))
	}
	for _, cell := range cells {
		c.targetSum = c.targetSum.plus(cell)
	}
	c.target = append(c.target, cells)
}

// counts returns the outcomes of a group until a snapshot.
func (c *comparison) counts(h *history, s *snapshot, g Group) outcomeCounts {
	e := s.entry(g, c.route)
	if c.measure == failureMeasure {
		return outcomeCounts{all: float64(e.responded()), bad: float64(e.Failures)}
	}
	n := outcomeCounts{}
	for bin, count := range c.bins(e) {
		n.all += float64(count)
		if bin >= c.limit {
			n.bad += float64(count)
		}
	}
	if c.measure == firstEventMeasure {
		// Requests that were sent long ago and have not responded are slow, whatever their time will be.
		sent := h.before(s.at-binStart(c.limit)-reportDelay).entry(g, c.route).Sends
		overdue := float64(max(0, sent-e.responded()-e.Unevaluated))
		n = n.plus(outcomeCounts{all: overdue, bad: overdue})
	}
	return n
}

// bins returns the durations that the measure compares.
func (c *comparison) bins(e *TallyEntry) []int64 {
	if c.measure == firstEventMeasure {
		return e.FirstEvents
	}
	return e.Intervals
}

// usualShare returns the share of bad outcomes that is usual in a period: that of the old versions over the whole roll-out, or, if it
// differs by more than chance in this period, the share in the period. While all new requests go to the target, a fault that struck
// the old versions last is assumed to go on for a while.
func (c *comparison) usualShare(period int) float64 {
	last, deviations := period, unusualDeviations
	for last > 0 && last > period-lastingPeriods && c.old[last].all < priorWeight {
		last, deviations = last-1, lastingDeviations
	}
	now := c.old[last]
	if difference := now.bad - now.all*c.overallShare(); difference > c.chance(now, deviations) || last == period && -difference > c.chance(now, deviations) {
		return c.bounded((now.bad + priorWeight*c.overallShare()) / (now.all + priorWeight))
	}
	return c.bounded(c.overallShare())
}

// chance returns the difference in bad outcomes that chance explains, for a number of standard deviations.
func (c *comparison) chance(o outcomeCounts, deviations float64) float64 {
	share := c.overallShare()
	return deviations*math.Sqrt(o.all*share*(1-share)) + 0.5
}

// overallShare returns the share of bad outcomes of the old versions over all periods, plus its standard error: few outcomes of the
// old versions must not make a good target look bad.
func (c *comparison) overallShare() float64 {
	all := c.oldSum.all + 2
	share := (c.oldSum.bad + 0.2) / all
	return share + math.Sqrt(share*(1-share)/all)
}

// bounded keeps a usual share within its bounds.
func (c *comparison) bounded(share float64) float64 {
	return min(maxUsualShare, max(minUsualShares[c.measure], share))
}

// isUnsettled reports whether the old versions have far more bad outcomes in the last periods than usual.
func (c *comparison) isUnsettled() bool {
	recent := outcomeCounts{}
	for i := max(0, len(c.old)-settledPeriods); i < len(c.old); i++ {
		recent = recent.plus(c.old[i])
	}
	return recent.all >= priorWeight && recent.bad/recent.all > c.overallShare()+unsettledShare
}

// describe returns the counts for operators.
func (c *comparison) describe() string {
	return fmt.Sprintf("%s on route %s: %.0f of %.0f on the target, %.0f of %.0f on the old versions",
		c.measure, c.route, c.targetSum.bad, c.targetSum.all, c.oldSum.bad, c.oldSum.all)
}
