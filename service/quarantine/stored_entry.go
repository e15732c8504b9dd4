package quarantine

import "azuredyke.dev/azuredyke/decision/quarantine"

// StoredEntry is one mark in the key-value service.
type StoredEntry struct {
	Mark     quarantine.Mark
	Revision int64
}
