package admission

import "time"

const (
	// startMargin is the longest time from the latest moment at which a gateway may send a granted request until the
	// endpoint counts the request.
	startMargin = 500 * time.Millisecond
	// grantReportTimeout is the time without a report after which a started grant counts as abandoned by its gateway.
	// It exceeds the longest first-token wait of the default settings (5 s).
	grantReportTimeout = 10 * time.Second
	// maxReportDelay bounds the delay between an event at an endpoint and its report at the cell: one progress interval
	// of 250 ms and two hops, with room for a busy node.
	maxReportDelay = time.Second
	// minProbeBackoff and maxProbeBackoff bound the exponential back-off between the probes of a suspect endpoint.
	minProbeBackoff = time.Second
	maxProbeBackoff = 30 * time.Second
	// maxScanInterval is the longest time between two scans of a queue that is not empty.
	maxScanInterval = 50 * time.Millisecond
	// maxReservationDelay is the longest wait after which an endpoint is reserved for a request that others overtake.
	maxReservationDelay = 5 * time.Second
	// defaultTokenInterval is four times the target of 29 ms between tokens.
	defaultTokenInterval = 116 * time.Millisecond
	// defaultWarmAfter keeps an endpoint that is only a little slower in its cold start at the cold limit for a few
	// requests, since the speed of one answer does not show that the endpoint is warm.
	defaultWarmAfter = 4
	// defaultLoadFailures is used when Params leaves LoadFailures at 0.
	defaultLoadFailures = 3
)

// Params configures a cell.
type Params struct {
	// StartWithin is the time after the gateway's request in which a granted request may start.
	StartWithin time.Duration
	// ColdLimit and MaxConcurrency bound the requests in flight on one endpoint.
	ColdLimit      int
	MaxConcurrency int
	// WarmAfter is the number of requests that a cold endpoint must complete before its limit rises; 0 means 4.
	WarmAfter int
	// MaxQueue bounds the number of waiting requests.
	MaxQueue int
	// LoadFailures is the number of unreadable load reports in a row after which an endpoint is suspect; 0 means 3.
	LoadFailures int
	// Policy names the placement policy; empty means the default policy. SetParams does not change the policy of a
	// cell.
	Policy string
	// TokenInterval is the longest mean interval between tokens at which completed work raises a limit; 0 means 116 ms.
	TokenInterval time.Duration
}

func (p Params) loadFailures() int {
	if p.LoadFailures <= 0 {
		return defaultLoadFailures
	}
	return p.LoadFailures
}

func (p Params) tokenInterval() time.Duration {
	if p.TokenInterval <= 0 {
		return defaultTokenInterval
	}
	return p.TokenInterval
}

func (p Params) warmAfter() int {
	if p.WarmAfter <= 0 {
		return defaultWarmAfter
	}
	return p.WarmAfter
}

// coldLimit returns the limit of a cold endpoint.
func (p Params) coldLimit() int { return min(p.ColdLimit, p.MaxConcurrency) }
