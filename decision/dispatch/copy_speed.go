package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/placement"
)

// nearDataCentre returns the data centre whose endpoints count as near: that of the node, or of the source for a copy.
func (t *Table) nearDataCentre(r *Request) string {
	if t.choosesBySpeed(r.Service) && r.CopyPending && r.SourceDataCentre != "" {
		return r.SourceDataCentre
	}
	return t.params.DataCentre
}

// chooseBackupBySpeed returns the endpoint that is to hold a copy of a run's memory, in the data centre of the primary endpoint if an
// engine there has enough free memory; nil for no copy.
func (t *Table) chooseBackupBySpeed(now time.Time, r *Request, primary *endpoint) *endpoint {
	t.collectBackups(now, r.Service, primary, primary.DataCentre)
	t.shuffleEligible()
	query := &placement.Request{Exclude: r.Exclude, Memory: placement.FlatForecast(float64(r.Tokens))}
	return t.pickNearFirst(now, r, query, t.speed.backup)
}
