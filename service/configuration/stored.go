package configuration

import "azuredyke.dev/azuredyke/decision/config"

// stored is the configuration as the key-value service holds it.
type stored struct {
	head     head
	snapshot *config.Snapshot
	// headModRevision is the store's revision of headKey, for a compare-and-swap.
	headModRevision int64
	// storeRevision is the revision of the whole store, from which a watch goes on.
	storeRevision int64
}
