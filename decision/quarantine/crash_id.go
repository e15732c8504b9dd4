package quarantine

// CrashID names one crash of one endpoint, so that two nodes which see the same crash do not count it twice.
type CrashID string
