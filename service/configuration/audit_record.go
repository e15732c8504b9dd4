package configuration

import (
	"time"

	"azuredyke.dev/azuredyke/decision/config"
)

// Outcomes of a change in the audit trail.
const (
	OutcomeAccepted = "accepted"
	OutcomeConflict = "conflict"
	OutcomeInvalid  = "invalid"
	OutcomeNotFound = "not_found"
)

// AuditRecord is one line of the audit trail. Objects hold keys only as hashes, so a record holds no secret.
type AuditRecord struct {
	// Revision is the configuration revision of an accepted change, and the revision it was refused at otherwise.
	Revision    int64
	Time        time.Time
	Actor       string
	Reason      string
	OperationID string
	// Action is create, update or delete.
	Action  string
	Ref     config.Ref
	Before  *config.Object
	After   *config.Object
	Outcome string
	// Detail is the error of a refused change.
	Detail string
}
