package admission

import "time"

const (
	// startMargin is the time that a request on its way needs at most to show up at its endpoint after the latest
	// moment at which its gateway may send it.
	startMargin = 500 * time.Millisecond
	// silentAfter is the time without a report after which a started grant counts as abandoned by its gateway. It is
	// above the longest first-token wait of the default settings (5 s).
	silentAfter = 10 * time.Second
	// reportLag bounds the delay between an event at an endpoint and its report at the cell: one progress interval of
	// 250 ms and two hops, with room for a busy node.
	reportLag = time.Second
	// firstProbe and maxProbe bound the exponential back-off between the probes of a suspect endpoint.
	firstProbe = time.Second
	maxProbe   = 30 * time.Second
	// scanInterval is the longest time without a look at a queue in which requests wait.
	scanInterval = 50 * time.Millisecond
	// reserveAfter is the longest wait after which a request that others overtake gets an endpoint reserved.
	reserveAfter = 5 * time.Second
	// defaultTokenInterval is four times the 29 ms between tokens of the stated target.
	defaultTokenInterval = 116 * time.Millisecond
	// defaultWarmAfter keeps an endpoint that is little slower in its cold start at the cold limit for a few requests, since
	// their speed alone does not tell that it is warm.
	defaultWarmAfter = 4
	// defaultLoadFailures is used when Params leaves LoadFailures at 0.
	defaultLoadFailures = 3
)

// Params configures a cell.
type Params struct {
	// StartWithin is how long a grant is valid after the gateway asked for it.
	StartWithin time.Duration
	// ColdLimit and MaxConcurrency bound the requests in flight on one endpoint.
	ColdLimit      int
	MaxConcurrency int
	// WarmAfter is the number of requests that a cold endpoint completes before its limit rises; 0 means 4.
	WarmAfter int
	// MaxQueue bounds the waiting requests.
	MaxQueue int
	// LoadFailures is the number of failed load reports in a row after which an endpoint is suspect; 0 means 3.
	LoadFailures int
	// Policy names the placement policy; it counts when the cell is made. Empty means the default policy.
	Policy string
	// TokenInterval is the longest mean time between tokens at which completed work raises a limit; 0 means 116 ms.
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
