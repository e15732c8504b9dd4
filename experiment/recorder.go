package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the largest recorded time in microseconds.
	histogramMax = int64(time.Hour / time.Microsecond)
	// histogramDigits is the number of significant digits.
	histogramDigits = 3
)

// recorder sums up samples. One goroutine owns it.
type recorder struct {
	workload   Workload
	firstToken *hdrhistogram.Histogram
	interval   *hdrhistogram.Histogram
	orders     *hdrhistogram.Histogram
	result     Result
}

func newRecorder(w Workload) *recorder {
	fresh := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &recorder{
		workload: w, firstToken: fresh(), interval: fresh(), orders: fresh(),
		result: Result{
			Errors: map[string]int{}, CompletedBySecond: make([]int, int(w.Duration/time.Second)+1),
		},
	}
}

// add sums up one sample.
func (r *recorder) add(s Sample) {
	r.result.Disorder += s.Disorder
	if second := int(s.EndedAt / time.Second); s.Whole && second < len(r.result.CompletedBySecond) {
		r.result.CompletedBySecond[second]++
	}
	if !s.Measured {
		return
	}
	r.result.Requests++
	if s.Reason != "" || !s.Whole {
		reason := s.Reason
		if reason == "" {
			reason = "cut"
		}
		r.result.Errors[reason+" "+s.Verdict]++
		return
	}
	r.result.Completed++
	if s.Arrival.Order {
		_ = r.orders.RecordValue(s.Total.Microseconds())
		return
	}
	r.result.Tokens += s.Tokens
	_ = r.firstToken.RecordValue(max(1, s.FirstToken.Microseconds()))
	for _, interval := range s.Intervals {
		_ = r.interval.RecordValue(max(1, interval.Microseconds()))
		if over := interval - r.workload.StallThreshold; over > 0 {
			r.result.Stall += over
		}
	}
}

// finish returns the result.
func (r *recorder) finish() Result {
	r.result.FirstToken = quantilesOf(r.firstToken)
	r.result.Interval = quantilesOf(r.interval)
	r.result.Orders = quantilesOf(r.orders)
	return r.result
}
