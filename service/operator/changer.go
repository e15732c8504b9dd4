package operator

import (
	"context"

	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/service/configuration"
)

// Changer makes configuration changes and reads the audit trail. configuration.Changer implements it.
type Changer interface {
	Change(ctx context.Context, change config.Change) (configuration.AcceptedChange, error)
	// RecordRefusal records in the audit trail a change that was refused before it was tried. It does not block.
	RecordRefusal(change config.Change, outcome, detail string)
	Audit(ctx context.Context, q configuration.AuditQuery) ([]configuration.AuditRecord, error)
}
