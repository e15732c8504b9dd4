package configuration

import "azuredyke.dev/azuredyke/decision/config"

// pullResult is the outcome of one pull or of the first read of the key-value service.
type pullResult struct {
	// address is empty for the key-value service.
	address string
	reply   PullReply
	// snapshot is what the key-value service holds.
	snapshot *config.Snapshot
	// starting is set for the pulls and the read that a node begins with.
	starting bool
	err      error
}
