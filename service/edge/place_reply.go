package edge

import "azuredyke.dev/azuredyke/decision/dispatch"

// placeReply answers a placeMessage.
type placeReply struct {
	placed  dispatch.Placement
	refusal dispatch.Refusal
}
