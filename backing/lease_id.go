package backing

// LeaseID identifies a lease; 0 is no lease.
type LeaseID int64
