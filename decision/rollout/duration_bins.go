package rollout

import (
	"math"
	"time"
)

const (
	// firstBinEnd is the upper end of the first bin. Shorter durations are not told apart.
	firstBinEnd = 4 * time.Millisecond
	// binsPerOctave makes a bin 1.26 times as wide as the one before it, so that a limit of 2.5 times the median is met within a
	// quarter.
	binsPerOctave = 3
	// durationBins bounds the bins. The last one begins at 52 s.
	durationBins = 43
)

// durationBin returns the bin of a duration.
func durationBin(d time.Duration) int {
	if d < firstBinEnd {
		return 0
	}
	return min(durationBins-1, 1+int(binsPerOctave*math.Log2(float64(d)/float64(firstBinEnd))))
}

// binStart returns the lower end of a bin.
func binStart(bin int) time.Duration {
	if bin == 0 {
		return 0
	}
	return time.Duration(float64(firstBinEnd) * math.Exp2(float64(bin-1)/binsPerOctave))
}

// medianBin returns the bin that holds the median, and whether there are counts.
func medianBin(bins []int64) (int, bool) {
	total := sumOf(bins)
	if total == 0 {
		return 0, false
	}
	below := int64(0)
	for i, n := range bins {
		below += n
		if 2*below >= total {
			return i, true
		}
	}
	return len(bins) - 1, true
}

// sumOf returns the sum of counts.
func sumOf(counts []int64) int64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	return total
}
