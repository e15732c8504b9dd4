package configuration

import "azuredyke.dev/azuredyke/decision/config"

// pullResult is the result of a pull or of a read of the key-value service.
type pullResult struct {
	// address is the address of the peer; empty for the key-value service.
	address string
	reply   PullReply
	// snapshot is the configuration in the key-value service; nil for a pull.
	snapshot *config.Snapshot
	// initial is set for the pulls and the read that a starting node makes.
	initial bool
	err     error
}
