package placement

import "math"

// horizons are the numbers of further tokens at which memory is forecast. Running requests grow together, one token a
// step, so that a horizon is a moment for all of them; 128 tokens are about 4 s at 29 ms. Steps of at most a half up to
// 2,048 tokens keep the peak between two horizons from being missed by more than a third.
var horizons = [...]float64{0, 64, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192}

// deviations is the number of standard deviations that are kept free for requests that grow longer than expected.
const deviations = 1.5

// Forecast is the memory in tokens that one or several requests are expected to use at each horizon. The lengths of
// requests are independent, so means and variances add up.
type Forecast struct {
	mean, variance [len(horizons)]float64
}

// NewForecast returns the forecast of one request that has received tokens of its answer. The bound maxTokens is 0 when
// there is none; blockTokens is the size of a memory block, of which the last one is partly empty.
func NewForecast(t *LengthTable, promptTokens, tokens, maxTokens int, blockTokens int64) Forecast {
	var f Forecast
	from := t.logSurvival(float64(tokens))
	for i, h := range horizons {
		length := float64(tokens) + h
		if maxTokens > 0 && length > float64(maxTokens) {
			break
		}
		alive := math.Exp(t.logSurvival(length) - from)
		size := float64(promptTokens) + length + float64(blockTokens)/2
		f.mean[i] = alive * size
		f.variance[i] = alive * (1 - alive) * size * size
	}
	return f
}

// FlatForecast returns the forecast of a request that is expected to use the same memory at every horizon.
func FlatForecast(tokens float64) Forecast {
	var f Forecast
	for i := range f.mean {
		f.mean[i] = tokens
	}
	return f
}

// Add adds the forecast of another request.
func (f *Forecast) Add(o *Forecast) {
	for i := range f.mean {
		f.mean[i] += o.mean[i]
		f.variance[i] += o.variance[i]
	}
}

// Remove takes away a forecast that was added.
func (f *Forecast) Remove(o *Forecast) {
	for i := range f.mean {
		f.mean[i] -= o.mean[i]
		f.variance[i] -= o.variance[i]
	}
}

// Now returns the expected memory at the present moment.
func (f *Forecast) Now() float64 { return f.mean[0] }

// PeakWith returns the largest memory over the horizons once the requests of o have joined, with room for requests that
// grow longer than expected.
func (f *Forecast) PeakWith(o *Forecast) float64 {
	peak := 0.0
	for i := range f.mean {
		mean, variance := f.mean[i]+o.mean[i], f.variance[i]+o.variance[i]
		// The root is only taken where it raises the peak.
		if below := peak - mean; below < 0 || deviations*deviations*variance > below*below {
			peak = mean + deviations*math.Sqrt(max(0, variance))
		}
	}
	return peak
}
