package edge

import "azuredyke.dev/azuredyke/common/exchange"

// moveStep is the end of one call of a move.
type moveStep struct {
	final bool
	moved exchange.Moved
}
