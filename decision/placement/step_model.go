package placement

import "time"

// stepDecay is the factor by which each new observation reduces the weight of the earlier ones; 0.98 averages over about 50
// load reports, which is 10 s at the default interval.
const stepDecay = 0.98

// StepModel predicts the duration of a decode step from the size of the batch, by linear regression with exponentially decayed
// observations.
type StepModel struct {
	weight, sumN, sumT, sumNN, sumNT float64
}

// Observe adds an observation: the duration of a step with n requests.
func (m *StepModel) Observe(n int, step time.Duration) {
	if n <= 0 || step <= 0 {
		return
	}
	x, y := float64(n), float64(step)
	m.weight = stepDecay*m.weight + 1
	m.sumN = stepDecay*m.sumN + x
	m.sumT = stepDecay*m.sumT + y
	m.sumNN = stepDecay*m.sumNN + x*x
	m.sumNT = stepDecay*m.sumNT + x*y
}

// Predict returns the expected duration of a step with n requests, or 0 before the first observation. A larger batch is
// never predicted to be faster.
func (m *StepModel) Predict(n int) time.Duration {
	if m.weight == 0 {
		return 0
	}
	slope := 0.0
	if spread := m.weight*m.sumNN - m.sumN*m.sumN; spread > 1e-6*m.sumNN {
		slope = max(0, (m.weight*m.sumNT-m.sumN*m.sumT)/spread)
	}
	return time.Duration(max(0, (m.sumT+slope*(m.weight*float64(n)-m.sumN))/m.weight))
}

// Reset removes all observations, for an endpoint that has restarted.
func (m *StepModel) Reset() { *m = StepModel{} }
