package speed

import (
	"math"
	"time"
)

const (
	// regressionHalfLife is the time after which a measurement counts half. The usual times depend on the engines' type and change
	// rarely; a node that runs two streams makes about 100 measurements in this time.
	regressionHalfLife = 30 * time.Second
	// minSpread is the variance of a factor, relative to its mean square, below which its influence can't be determined.
	minSpread = 1e-4
	// minRegressionWeight is the number of measurements from which a prediction is given.
	minRegressionWeight = 3
)

// Regression predicts a time from two factors by linear regression over decayed measurements. A larger factor never predicts a
// shorter time. The zero value has no measurements.
type Regression struct {
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
	varA, varB := r.sumAA/r.weight-meanA*meanA, r.sumBB/r.weight-meanB*meanB
	covAB := r.sumAB/r.weight - meanA*meanB
	covAT, covBT := r.sumAT/r.weight-meanA*meanT, r.sumBT/r.weight-meanB*meanT
	usableA, usableB := varA > minSpread*r.sumAA/r.weight, varB > minSpread*r.sumBB/r.weight
	r.slopeA, r.slopeB = 0, 0
	if determinant := varA*varB - covAB*covAB; usableA && usableB && determinant > minSpread*varA*varB {
		r.slopeA, r.slopeB = (covAT*varB-covBT*covAB)/determinant, (covBT*varA-covAT*covAB)/determinant
	}
	// A factor without influence of its own leaves the other one to explain the times.
	if r.slopeA <= 0 || r.slopeB <= 0 {
		a, b := 0.0, 0.0
		if usableA {
			a = max(0, covAT/varA)
		}
		if usableB {
			b = max(0, covBT/varB)
		}
		if a*covAT >= b*covBT {
			r.slopeA, r.slopeB = a, 0
		} else {
			r.slopeA, r.slopeB = 0, b
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
