package operator

import (
	"context"

	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/service/configuration"
)

// Changer makes changes and reads the audit trail.
type Changer interface {
	Change(ctx context.Context, change config.Change) (configuration.AcceptedChange, error)
	// RecordRefusal records a change that was refused before it was tried, without waiting.
	RecordRefusal(change config.Change, outcome, detail string)
	Audit(ctx context.Context, q configuration.AuditQuery) ([]configuration.AuditRecord, error)
}
