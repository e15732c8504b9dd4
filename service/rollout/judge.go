package rollout

import "azuredyke.dev/azuredyke/decision/rollout"

// Judge decides about one roll-out; decision/rollout.Judge implements it.
type Judge interface {
	Decide(*rollout.Plan, rollout.Evidence) rollout.Decision
}
