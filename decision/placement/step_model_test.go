package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a prediction that does not depend on the batch size, or that is shorter for a larger batch.
func TestStepModelPredictsFromTheBatch(t *testing.T) {
	m := &StepModel{}
	assert.Equal(t, m.Predict(5), time.Duration(0))
	m.Observe(4, 20*time.Millisecond)
	assert.Equal(t, m.Predict(9), 20*time.Millisecond, "one point has no slope")
	m.Reset()
	for i := range 40 {
		n := 1 + i%10
		m.Observe(n, time.Duration(10+2*n)*time.Millisecond)
	}
	got := m.Predict(20)
	assert.Assert(t, got > 49*time.Millisecond && got < 51*time.Millisecond, "%v", got)
	m.Reset()
	m.Observe(1, 30*time.Millisecond)
	m.Observe(10, 20*time.Millisecond)
	assert.Assert(t, m.Predict(20) >= m.Predict(1))
}

// Guards against a model that keeps predicting the earlier step time of an endpoint that has become slow.
func TestStepModelFollowsSlowerSteps(t *testing.T) {
	m := &StepModel{}
	for range 500 {
		m.Observe(5, 10*time.Millisecond)
	}
	for range 200 {
		m.Observe(5, 100*time.Millisecond)
	}
	assert.Assert(t, m.Predict(5) > 90*time.Millisecond)
}
