package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// Quarantine prevents requests that crash endpoints from running again.
type Quarantine interface {
	// Standing returns whether and how a request may run. After quarantine.Suspect, ReportCrash or ReportRunEnd must be
	// called.
	Standing(ctx context.Context, f quarantine.Fingerprint) quarantine.Standing
	// ReportCrash reports that an endpoint crashed while it ran the request. It returns once the other nodes have received the
	// report or ctx has ended.
	ReportCrash(ctx context.Context, f quarantine.Fingerprint, id quarantine.CrashID)
	// ReportRunEnd ends the run of a suspect; completed is true when the request got its full answer.
	ReportRunEnd(ctx context.Context, f quarantine.Fingerprint, completed bool)
}
