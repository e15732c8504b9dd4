package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/placement"
)

// grant is an open grant: a request that may be running on its endpoint.
type grant struct {
	request message.PlaceRequest
	// grantedAt is when the grant was made.
	grantedAt time.Time
	// startedAt is when the first report of the gateway arrived; zero until then.
	startedAt time.Time
	// lastReport is when the last report of the gateway arrived, or grantedAt.
	lastReport time.Time
	// failedAt is when the gateway reported a failed connection; zero until then.
	failedAt time.Time
	tokens   int
	// memory is the grant's part of the memory forecast of the endpoint.
	memory placement.Forecast
	// incarnation is the endpoint's incarnation in the last load report before the grant.
	incarnation string
	// coldStarts is the endpoint's number of cold starts at the time of the grant.
	coldStarts int
	// probe is set when the grant was made to a suspect endpoint.
	probe bool
}

// releasableFrom returns the time from which a load report can prove that the grant's work is not on the endpoint: the
// time of the failure, the end of the time to start if no start was reported, or the end of the report timeout. Before
// that time the gateway may still be running the work.
func (g *grant) releasableFrom(p Params) time.Time {
	switch {
	case !g.failedAt.IsZero():
		return g.failedAt
	case g.startedAt.IsZero():
		return g.grantedAt.Add(p.StartWithin + startMargin)
	default:
		return g.lastReport.Add(grantReportTimeout)
	}
}
