package placement

import "time"

// stepMemory is the weight that earlier observations keep at each new one; 0.98 looks back on about 50 load reports,
// which is 10 s at the default interval.
const stepMemory = 0.98

// StepModel predicts the duration of a decode step from the size of the batch, by a linear regression with forgetting.
type StepModel struct {
	weight, sumN, sumT, sumNN, sumNT float64
}

// Observe learns the duration of a step with n requests.
func (m *StepModel) Observe(n int, step time.Duration) {
	if n <= 0 || step <= 0 {
		return
	}
	x, y := float64(n), float64(step)
	m.weight = stepMemory*m.weight + 1
	m.sumN = stepMemory*m.sumN + x
	m.sumT = stepMemory*m.sumT + y
	m.sumNN = stepMemory*m.sumNN + x*x
	m.sumNT = stepMemory*m.sumNT + x*y
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

// Reset forgets everything, for an endpoint that restarted.
func (m *StepModel) Reset() { *m = StepModel{} }
