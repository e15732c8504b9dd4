package speed

import (
	"math"
	"time"
)

const (
	// regressionHalfLife is the time after which a measurement counts half. The usual times depend on the engines' type and change
	// rarely; a node that runs two streams makes about 100 measurements in this time.
	regressionHalfLife = 30 * time.Second
	// noise is the standard deviation of measured times relative to their mean: hosts are up to 2.5 times slower for a seventh of
	// the time. Influences that are uncertain because of it are reduced, since a node often sees nearly the same load on all engines.
	noise = 0.4
	// likelyGrowth is how much the time typically grows, relative to its mean, with the first factor from 0 to its mean;
	// likelyShareGrowth with the second one from 0 to 1.
	likelyGrowth      = 0.3
	likelyShareGrowth = 1.0
	// minRegressionWeight is the number of measurements from which a prediction is given.
	minRegressionWeight = 3
)

// Regression predicts a time from two factors by ridge regression over decayed measurements. The second factor is a share. A larger
// factor never predicts a shorter time. The zero value has no measurements.
type Regression struct {
	// PriorSlope is the growth with the first factor that is assumed without measurements.
	PriorSlope float64

	at                     time.Time
	weight                 float64
	sumA, sumB, sumT       float64
	sumAA, sumAB, sumBB    float64
	sumAT, sumBT           float64
	slopeA, slopeB, offset float64
}

// Observe adds a measured time.
func (r *Regression) Observe(now time.Time, a, b, measured float64) {
	if math.IsNaN(measured) || measured <= 0 {
		return
	}
	keep := decay(now.Sub(r.at), regressionHalfLife)
	r.at = now
	for _, s := range []struct {
		sum   *float64
		value float64
	}{
		{&r.weight, 1},
		{&r.sumA, a},
		{&r.sumB, b},
		{&r.sumT, measured},
		{&r.sumAA, a * a},
		{&r.sumAB, a * b},
		{&r.sumBB, b * b},
		{&r.sumAT, a * measured},
		{&r.sumBT, b * measured},
	} {
		*s.sum = *s.sum*keep + s.value
	}
	r.fit()
}

// fit determines the line from the sums.
func (r *Regression) fit() {
	meanA, meanB, meanT := r.sumA/r.weight, r.sumB/r.weight, r.sumT/r.weight
	ridgeA, ridgeB := noise*noise/(likelyGrowth*likelyGrowth)*meanA*meanA/r.weight, noise*noise/(likelyShareGrowth*likelyShareGrowth)/r.weight
	varA, varB := r.sumAA/r.weight-meanA*meanA+ridgeA, r.sumBB/r.weight-meanB*meanB+ridgeB
	covAB := r.sumAB/r.weight - meanA*meanB
	covAT, covBT := r.sumAT/r.weight-meanA*meanT+ridgeA*r.PriorSlope, r.sumBT/r.weight-meanB*meanT
	r.slopeA, r.slopeB = 0, 0
	if determinant := varA*varB - covAB*covAB; determinant > 0 {
		r.slopeA, r.slopeB = (covAT*varB-covBT*covAB)/determinant, (covBT*varA-covAT*covAB)/determinant
	}
	// A factor without influence of its own leaves the other one to explain the times.
	switch {
	case r.slopeA < 0:
		r.slopeA, r.slopeB = 0, max(0, covBT/varB)
	case r.slopeB < 0:
		r.slopeA, r.slopeB = 0, 0
		if varA > 0 {
			r.slopeA = max(0, covAT/varA)
		}
	}
	r.offset = meanT - r.slopeA*meanA - r.slopeB*meanB
}

// Known reports whether there are enough measurements for a prediction.
func (r *Regression) Known() bool { return r.weight >= minRegressionWeight }

// Predict returns the usual time; 0 if there are too few measurements.
func (r *Regression) Predict(a, b float64) float64 {
	if !r.Known() {
		return 0
	}
	// An extrapolation below half of the mean is a fault of a line through few points.
	return max(r.offset+r.slopeA*a+r.slopeB*b, r.sumT/r.weight/2)
}

// SlopeA returns by how much the time grows with the first factor.
func (r *Regression) SlopeA() float64 { return r.slopeA }
