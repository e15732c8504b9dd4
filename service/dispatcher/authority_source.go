package dispatcher

import (
	"time"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/admission"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// authoritySource derives the admission authority of this node for one cell from the published configuration and holdings.
type authoritySource struct {
	cell       string
	fence      uint64
	dataCentre string
	config     *latest.Value[*config.Snapshot]
	holdings   *latest.Value[ownership.Holdings]
}

// read returns the authority at the given time.
func (a authoritySource) read(now time.Time) admission.Authority {
	h := a.holdings.Load()
	hold, ok := h.ByResource[a.cell]
	dc := a.config.Load().DataCentre(a.dataCentre)
	owned := ok && hold.Fence == a.fence && !hold.Releasing
	return admission.Authority{
		Owned: owned, Confirmed: h.Confirmed(now), DataCentreOut: dc == nil || dc.Out,
	}
}
