package claim

import "azuredyke.dev/azuredyke/common/message"

// Answer is the decision about a claim.
type Answer struct {
	// Wait is set while the decision depends on records that are not durable yet. The caller repeats the claim after the
	// next call of MarkDurable.
	Wait   bool
	Status message.ClaimStatus
	// Outcome is set when Status is ClaimFinished.
	Outcome *message.ClaimOutcome
}
