package configuration

// head is the value of headKey.
type head struct {
	// Revision is the configuration revision.
	Revision int64
	// AuditFloor is the lowest revision that may still have an audit record.
	AuditFloor int64 `json:",omitempty"`
}
