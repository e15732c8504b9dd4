package configuration

import "azuredyke.dev/azuredyke/decision/config"

// Offer is a snapshot that may be newer than the one in force.
type Offer struct {
	Snapshot *config.Snapshot
	// FromPlatform is set for the newest state of the key-value service itself; a lower revision then means that the
	// service was restored to an older state.
	FromPlatform bool
	// Done is closed once the offer was considered; it may be nil.
	Done chan<- struct{}
}
