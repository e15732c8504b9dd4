package speed

import (
	"math"
	"time"
)

const (
	// Fastest and Slowest bound the slowdown.
	Fastest = 0.25
	Slowest = 4
	// halfLife is the time after which a measurement of an endpoint counts half. An endpoint that changes its speed is judged by
	// its new speed after about as long.
	halfLife = 10 * time.Second
	// priorWeight is the number of measurements that an unknown endpoint is assumed to have had at the usual speed, so that one
	// measurement in a short slow period does not rule the choices.
	priorWeight = 1
	// stateValidity is the time for which the state that an endpoint gave itself describes it. Hosts change theirs many times a
	// second.
	stateValidity = 300 * time.Millisecond
	// maxStateFactor bounds the influence of what an endpoint says about itself, which may be wrong, below the difference between
	// the slow and the fast engines of one service (1.7 to 0.7).
	maxStateFactor = 1.5
	// shareUnit is the resolution in which sums of logarithms are shared; countUnit that of counts.
	shareUnit = 100
	countUnit = 10
	// minSharedWeight is the number of measurements from which they are shared: those of a stream in one second.
	minSharedWeight = 2
	// sharedStep is the change of the mean logarithm, about 10%, below which the shared sum stays as it is.
	sharedStep = 0.1
)

// Estimate is the slowdown of one endpoint incarnation: the time that work takes there relative to the usual time. The zero value
// knows nothing.
type Estimate struct {
	own    logarithms
	others logarithms
	stated logarithms
	// state is the last slowdown that the endpoint gave itself, stateAt its time.
	state   float64
	stateAt time.Time
	// shared is the own sum that was shared last.
	sharedSum, sharedCount int
}

// Observe adds a measured time in relation to the usual one. Weight is 1 for a measurement over about half a second.
func (e *Estimate) Observe(now time.Time, ratio, weight float64) {
	if ratio > 0 && weight > 0 {
		e.own.add(now, math.Log(bound(ratio)), weight)
	}
}

// SetOthers replaces what the other nodes measured by a sum in the units of Share.
func (e *Estimate) SetOthers(now time.Time, sum, count int) {
	e.others = logarithms{}
	if count > 0 {
		weight := float64(count) / countUnit
		mean := math.Log(bound(math.Exp(float64(sum) / shareUnit / weight)))
		e.others.add(now, mean, weight)
	}
}

// RecordState records the slowdown that the endpoint gave itself; 0 if it gave none.
func (e *Estimate) RecordState(now time.Time, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	e.state, e.stateAt = bound(slowdown), now
	e.stated.add(now, math.Log(e.state), 1)
}

// Learned returns the slowdown by the measured times, of this node and of the others.
func (e *Estimate) Learned(now time.Time) float64 {
	ownSum, ownWeight := e.own.at(now)
	othersSum, othersWeight := e.others.at(now)
	return bound(math.Exp((ownSum + othersSum) / (ownWeight + othersWeight + priorWeight)))
}

// Slowdown returns the slowdown at this moment. What the endpoint says counts only while it is fresh, only as far as it differs
// from what the endpoint usually says, and only within bounds, so that a figure that is always too low has no influence.
func (e *Estimate) Slowdown(now time.Time) float64 {
	learned := e.Learned(now)
	if e.stateAt.IsZero() || now.Sub(e.stateAt) > stateValidity {
		return learned
	}
	sum, weight := e.stated.at(now)
	factor := e.state / math.Exp(sum/weight)
	return bound(learned * min(maxStateFactor, max(1/maxStateFactor, factor)))
}

// Observations returns the decayed number of measurements of this node and of the others.
func (e *Estimate) Observations(now time.Time) float64 {
	_, own := e.own.at(now)
	_, others := e.others.at(now)
	return own + others
}

// ShareDue reports whether the shared sum has to change: the mean has changed by about 10%, the number of measurements by a factor of
// 2, or too few are left. Smaller changes are not worth a message.
func (e *Estimate) ShareDue(now time.Time) bool {
	total, weight := e.own.at(now)
	if weight < minSharedWeight {
		return e.sharedCount > 0 && weight < minSharedWeight/2
	}
	shared := float64(e.sharedCount) / countUnit
	if shared == 0 || weight >= 2*shared || 2*weight <= shared {
		return true
	}
	return math.Abs(total/weight-float64(e.sharedSum)/shareUnit/shared) >= sharedStep
}

// Share returns the sum of the logarithms of this node's measurements in hundredths, and their number in tenths; zeros if there are too
// few.
func (e *Estimate) Share(now time.Time) (sum, count int) {
	total, weight := e.own.at(now)
	e.sharedSum, e.sharedCount = 0, 0
	if weight >= minSharedWeight {
		e.sharedSum, e.sharedCount = int(math.Round(total*shareUnit)), int(math.Round(weight*countUnit))
	}
	return e.sharedSum, e.sharedCount
}

// bound limits a slowdown to the permitted range.
func bound(slowdown float64) float64 { return min(Slowest, max(Fastest, slowdown)) }
