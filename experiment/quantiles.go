package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles holds the median and the 95th and 99th percentiles of a duration.
type Quantiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}
