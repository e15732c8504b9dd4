package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
)

// Knowledge is an immutable view of what the node knows.
type Knowledge struct {
	Fleet *fleet.Snapshot
	// Nodes lists the other nodes.
	Nodes []Member
	// topology is who relays for whom among them and this node.
	topology topology
	// Position is the store's revision up to which all changes are known.
	Position int64
	// Confirmed is when the node last knew that it was up to date, on the boot clock.
	Confirmed time.Time
}
