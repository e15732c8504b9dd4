package backing

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64
