package queue

// ScanAction is the decision on one item during a Scan.
type ScanAction uint8

// Actions for one item of a Scan.
const (
	// Skip leaves the item waiting and continues with the next one.
	Skip ScanAction = iota
	// Take removes the item because it starts, and charges it to its workspace.
	Take
	// Drop removes the item without starting it or charging it to its workspace.
	Drop
	// Stop ends the scan; the item and all later ones remain waiting.
	Stop
)
