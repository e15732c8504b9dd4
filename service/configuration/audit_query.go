package configuration

import "azuredyke.dev/azuredyke/decision/config"

// AuditQuery selects audit records. Empty filters match every record.
type AuditQuery struct {
	Actor string
	Kind  config.Kind
	Name  string
	// Limit is the maximum number of records; it must be above 0.
	Limit int
}

// matches reports whether a record matches the filters.
func (q AuditQuery) matches(r AuditRecord) bool {
	return (q.Actor == "" || q.Actor == r.Actor) && (q.Kind == "" || q.Kind == r.Ref.Kind) &&
		(q.Name == "" || q.Name == r.Ref.Name)
}
