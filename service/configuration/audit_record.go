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

// maxDetailBytes limits the error text in a record.
const maxDetailBytes = 2048

// AuditRecord is one entry of the audit trail. Objects contain keys only as hashes, so a record contains no secret.
type AuditRecord struct {
	// Revision is the configuration revision that an accepted change created, or at which a change was refused.
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
	// Sequence is the sequence number of a refused change; 0 for an accepted change.
	Sequence int64 `json:",omitempty"`
}

// newAuditRecord returns the record of an accepted change.
func newAuditRecord(before, after *config.Snapshot, c config.Change, now time.Time) AuditRecord {
	r := AuditRecord{
		Revision: after.Revision(), Time: now, Actor: c.Actor, Reason: c.Reason, OperationID: c.OperationID,
		Ref: c.Ref, Before: config.Redact(before.Get(c.Ref)), After: config.Redact(after.Get(c.Ref)),
		Outcome: OutcomeAccepted,
	}
	r.Action = actionOf(r.Before, r.After == nil)
	return r
}

// newRefusalRecord returns the record of a change to base that was refused. Texts are truncated, because a change may be
// refused for texts that are too long.
func newRefusalRecord(base *config.Snapshot, c config.Change, outcome, detail string, now time.Time) AuditRecord {
	stored := config.Redact(base.Get(c.Ref))
	proposed, err := c.Apply(base.Get(c.Ref))
	if err != nil {
		proposed = nil
	}
	return AuditRecord{
		Revision: base.Revision(), Time: now, Actor: truncate(c.Actor, config.MaxOperationIDBytes),
		Reason: truncate(c.Reason, config.MaxReasonBytes), OperationID: truncate(c.OperationID, config.MaxOperationIDBytes),
		Action: actionOf(stored, c.Proposed == nil && c.SetOut == nil),
		Ref:    config.Ref{Kind: c.Ref.Kind, Name: truncate(c.Ref.Name, config.MaxOperationIDBytes)},
		Before: stored, After: config.Redact(proposed), Outcome: outcome, Detail: truncate(detail, maxDetailBytes),
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

// truncate returns at most limit bytes of s, without invalid UTF-8.
func truncate(s string, limit int) string {
	return strings.ToValidUTF8(s[:min(len(s), limit)], "")
}
