package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/placement"
)

// grant is an open grant: a request that may be running on its endpoint.
type grant struct {
	request message.PlaceRequest
	// at is when the grant was made.
	at time.Time
	// started is when the gateway's first report arrived; zero until then.
	started time.Time
	// heard is when the last report arrived.
	heard time.Time
	// failed is when the gateway reported that the connection failed; zero until then.
	failed time.Time
	tokens int
	// memory is the part of the endpoint's forecast that this grant makes up.
	memory placement.Forecast
	// incarnation is that of the endpoint when the grant was made, as far as it was known.
	incarnation string
	// coldStarts is how often the endpoint had become cold.
	coldStarts int
	// probe is set when the grant was made to a suspect endpoint.
	probe bool
}

// doubtFrom returns the moment after which a load report can prove that the grant's work is not on the endpoint: the
// failure, the end of the time to start without a report of a start, or the end of a long silence. Before it the gateway
// may still be running the work.
func (g *grant) doubtFrom(p Params) time.Time {
	switch {
	case !g.failed.IsZero():
		return g.failed
	case g.started.IsZero():
		return g.at.Add(p.StartWithin + startMargin)
	default:
		return g.heard.Add(silentAfter)
	}
}
