package claim

import "azuredyke.dev/azuredyke/common/message"

// Answer is the decision about a claim.
type Answer struct {
	// Wait says that the decision depends on records that are not durable yet; ask again after Durable.
	Wait   bool
	Status message.ClaimStatus
	// Outcome is set when Status is ClaimFinished.
	Outcome *message.ClaimOutcome
}
