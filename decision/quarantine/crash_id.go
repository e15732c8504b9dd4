package quarantine

// CrashID identifies one crash of one endpoint, so that a crash that two nodes observe counts once.
type CrashID string
