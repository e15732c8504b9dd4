package quarantine

import "azuredyke.dev/azuredyke/decision/quarantine"

// Stored holds the entries of marks in the key-value service by fingerprint. It is immutable.
type Stored map[quarantine.Fingerprint]StoredEntry
