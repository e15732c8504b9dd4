package configuration

import (
	"strings"
	"time"

	"azuredyke.dev/azuredyke/decision/config"
)

// Outcomes of a change in the audit trail.
const (
	OutcomeAccepted   = "accepted"
	OutcomeConflict   = "conflict"
	OutcomeInvalid    = "invalid"
	OutcomeNotFound   = "not_found"
	OutcomePermission = "permission"
)

// maxDetailBytes bounds the error in a record.
const maxDetailBytes = 2048

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
	// Sequence numbers the refused changes.
	Sequence int64 `json:",omitempty"`
}

// newAuditRecord returns the record of an accepted change.
func newAuditRecord(before, after *config.Snapshot, c config.Change, now time.Time) AuditRecord {
	r := AuditRecord{
		Revision: after.Revision(), Time: now, Actor: c.Actor, Reason: c.Reason, OperationID: c.OperationID,
		Ref: c.Ref, Before: config.Redacted(before.Get(c.Ref)), After: config.Redacted(after.Get(c.Ref)),
		Outcome: OutcomeAccepted,
	}
	r.Action = actionOf(r.Before, r.After == nil)
	return r
}

// newRefusalRecord returns the record of a change that was refused on top of a snapshot. What the operator sent may be
// too long, so texts are cut.
func newRefusalRecord(at *config.Snapshot, c config.Change, outcome, detail string, now time.Time) AuditRecord {
	stored := config.Redacted(at.Get(c.Ref))
	proposed, err := c.Proposal(at.Get(c.Ref))
	if err != nil {
		proposed = nil
	}
	return AuditRecord{
		Revision: at.Revision(), Time: now, Actor: cut(c.Actor, config.MaxOperationIDBytes),
		Reason: cut(c.Reason, config.MaxReasonBytes), OperationID: cut(c.OperationID, config.MaxOperationIDBytes),
		Action: actionOf(stored, c.Proposed == nil && c.SetOut == nil),
		Ref:    config.Ref{Kind: c.Ref.Kind, Name: cut(c.Ref.Name, config.MaxOperationIDBytes)},
		Before: stored, After: config.Redacted(proposed), Outcome: outcome, Detail: cut(detail, maxDetailBytes),
	}
}

func actionOf(before *config.Object, deletes bool) string {
	switch {
	case deletes:
		return "delete"
	case before == nil:
		return "create"
	default:
		return "update"
	}
}

// cut returns at most limit bytes of valid text.
func cut(s string, limit int) string {
	return strings.ToValidUTF8(s[:min(len(s), limit)], "")
}
