package gateway

import (
	"context"

	decision "azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/quarantine"
)

// Quarantine prevents requests that crash endpoints from running again.
type Quarantine interface {
	// Admit returns whether and how a request may run. After the standing Suspect, one of the other methods must be called.
	Admit(ctx context.Context, fingerprints []decision.Fingerprint) quarantine.Admission
	// ReportCrash reports that an endpoint crashed while it ran the request. It returns once the other nodes have received the
	// report or ctx has ended.
	ReportCrash(ctx context.Context, a quarantine.Admission)
	// ReportAnswer reports that the request got its full answer.
	ReportAnswer(ctx context.Context, a quarantine.Admission)
	// Release ends a trial without an outcome.
	Release(ctx context.Context, a quarantine.Admission)
}
