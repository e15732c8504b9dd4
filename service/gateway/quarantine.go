package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// Quarantine keeps requests that crash endpoints from running again.
type Quarantine interface {
	// Standing says how a request may run; a Suspect answer must be followed by Crashed or Finished.
	Standing(ctx context.Context, f quarantine.Fingerprint) quarantine.Standing
	// Crashed returns once the other nodes know about the crash or ctx has ended.
	Crashed(ctx context.Context, f quarantine.Fingerprint, id quarantine.CrashID)
	Finished(ctx context.Context, f quarantine.Fingerprint, completed bool)
}
