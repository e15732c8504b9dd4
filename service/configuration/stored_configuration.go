package configuration

import "azuredyke.dev/azuredyke/decision/config"

// storedConfiguration is the configuration in the key-value service.
type storedConfiguration struct {
	head     head
	snapshot *config.Snapshot
	// headModRevision is the ModRevision of headKey, used for a compare-and-swap.
	headModRevision int64
	// storeRevision is the store revision of the read; a watch continues at the revision after it.
	storeRevision int64
}
