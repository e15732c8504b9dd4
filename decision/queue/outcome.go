package queue

// Outcome says what happens to an item during a Scan.
type Outcome uint8

// Outcomes of a Scan for one item.
const (
	// Skip leaves the item waiting and goes on with the next one.
	Skip Outcome = iota
	// Take removes the item, which starts.
	Take
	// Drop removes the item, which does not start and is not charged to its workspace.
	Drop
	// Stop leaves this item and all later ones waiting.
	Stop
)
