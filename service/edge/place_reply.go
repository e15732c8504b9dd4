package edge

import "azuredyke.dev/azuredyke/decision/dispatch"

// placeReply answers a placeMessage.
type placeReply struct {
	placement dispatch.Placement
	refusal   dispatch.Refusal
}
