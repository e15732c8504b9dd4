package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMaxMicroseconds is the largest duration that the histograms record.
	histogramMaxMicroseconds = int64(time.Hour / time.Microsecond)
	// histogramDigits is the number of significant decimal digits of recorded durations.
	histogramDigits = 3
)

// recorder aggregates samples into a Result. It must be used by one goroutine only.
type recorder struct {
	workload      Workload
	firstToken    *hdrhistogram.Histogram
	tokenInterval *hdrhistogram.Histogram
	orderLatency  *hdrhistogram.Histogram
	result        Result
}

func newRecorder(w Workload) *recorder {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMaxMicroseconds, histogramDigits) }
	return &recorder{
		workload: w, firstToken: newHistogram(), tokenInterval: newHistogram(), orderLatency: newHistogram(),
		result: Result{
			Errors: map[string]int{}, CompletedBySecond: make([]int, int(w.Duration/time.Second)+1),
		},
	}
}

// add records one sample.
func (r *recorder) add(s Sample) {
	r.result.SequenceErrors += s.SequenceErrors
	if second := int(s.EndedAt / time.Second); s.Complete && second < len(r.result.CompletedBySecond) {
		r.result.CompletedBySecond[second]++
	}
	if !s.Measured {
		return
	}
	r.result.Requests++
	if s.Reason != "" || !s.Complete {
		reason := s.Reason
		if reason == "" {
			reason = "cut"
		}
		r.result.Errors[reason+" "+s.Verdict]++
		return
	}
	r.result.Completed++
	if s.Arrival.IsOrder {
		_ = r.orderLatency.RecordValue(s.Total.Microseconds())
		return
	}
	r.result.Tokens += s.Tokens
	_ = r.firstToken.RecordValue(max(1, s.FirstToken.Microseconds()))
	for _, interval := range s.Intervals {
		_ = r.tokenInterval.RecordValue(max(1, interval.Microseconds()))
		if excess := interval - r.workload.StallThreshold; excess > 0 {
			r.result.StallTime += excess
		}
	}
}

// finish computes the quantiles and returns the result.
func (r *recorder) finish() Result {
	r.result.FirstToken = quantilesOf(r.firstToken)
	r.result.TokenInterval = quantilesOf(r.tokenInterval)
	r.result.OrderLatency = quantilesOf(r.orderLatency)
	return r.result
}
