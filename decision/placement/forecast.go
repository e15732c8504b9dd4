package placement

import "math"

// horizons are the numbers of further tokens at which memory is forecast. All running requests grow by one token per step,
// so a horizon is the same moment for all of them; 128 tokens take about 4 s at 29 ms per token. From 128 to 2,048 tokens each
// horizon exceeds the previous one by at most one half, so that a peak between two horizons is underestimated by at most a
// third.
var horizons = [...]float64{0, 64, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192}

// reservedDeviations is the number of standard deviations of memory that are reserved for requests that grow longer than
// expected.
const reservedDeviations = 1.5

// Forecast is the memory in tokens that one or several requests are expected to use at each horizon. The lengths of
// requests are independent, so their means and variances are additive.
type Forecast struct {
	mean, variance [len(horizons)]float64
}

// NewForecast returns the forecast for one request whose answer has the given number of tokens so far. A maxTokens of 0 means
// no limit. The size of a memory block, blockTokens, accounts for the last block, which is half empty on average.
func NewForecast(t *LengthTable, promptTokens, tokens, maxTokens int, blockTokens int64) Forecast {
	var f Forecast
	from := t.logSurvival(float64(tokens))
	for i, h := range horizons {
		length := float64(tokens) + h
		if maxTokens > 0 && length > float64(maxTokens) {
			break
		}
		reached := math.Exp(t.logSurvival(length) - from)
		size := float64(promptTokens) + length + float64(blockTokens)/2
		f.mean[i] = reached * size
		f.variance[i] = reached * (1 - reached) * size * size
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

// Remove subtracts a forecast that was added.
func (f *Forecast) Remove(o *Forecast) {
	for i := range f.mean {
		f.mean[i] -= o.mean[i]
		f.variance[i] -= o.variance[i]
	}
}

// Now returns the expected memory at the present moment.
func (f *Forecast) Now() float64 { return f.mean[0] }

// PeakWith returns the largest memory in tokens over all horizons of f and o together, including the reserve for requests that
// grow longer than expected.
func (f *Forecast) PeakWith(o *Forecast) float64 {
	peak := 0.0
	for i := range f.mean {
		mean, variance := f.mean[i]+o.mean[i], f.variance[i]+o.variance[i]
		// Computes the square root only if it raises the peak.
		if below := peak - mean; below < 0 || reservedDeviations*reservedDeviations*variance > below*below {
			peak = mean + reservedDeviations*math.Sqrt(max(0, variance))
		}
	}
	return peak
}
