package configuration

import "azuredyke.dev/azuredyke/decision/config"

// Offer is a snapshot that may be newer than the one in force.
type Offer struct {
	Snapshot *config.Snapshot
	// Done is closed once the Manager has processed the offer; it may be nil.
	Done chan<- struct{}
}
