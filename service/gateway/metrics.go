package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"azuredyke.dev/azuredyke/common/verdict"
)

// metrics are the metrics of caller requests. Times are reported in seconds.
type metrics struct {
	scope         tally.Scope
	firstToken    tally.Histogram
	tokenInterval tally.Histogram
	stallTime     tally.Timer
	parts         tally.Counter
	duplicates    tally.Counter
	resumes       tally.Counter
	retries       tally.Counter
	completed     tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	s := scope.SubScope("gateway")
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return &metrics{
		scope:         s,
		firstToken:    s.Histogram("first_token", buckets),
		tokenInterval: s.Histogram("token_interval", buckets),
		stallTime:     s.Timer("stall_time"),
		parts:         s.Counter("parts_delivered"),
		duplicates:    s.Counter("parts_duplicate"),
		resumes:       s.Counter("stream_resumes"),
		retries:       s.Counter("retries"),
		completed:     s.Counter("completed"),
	}
}

// countError counts a request that ended with an error.
func (m *metrics) countError(err *verdict.Error) {
	m.scope.Tagged(map[string]string{
		"reason": string(err.Reason), "verdict": err.Verdict.String(),
	}).Counter("errors").Inc(1)
}
