package gateway

import (
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/transport/engine"
)

// Dependencies are the parts of the node that a Server uses.
type Dependencies struct {
	Config     *latest.Value[*config.Snapshot]
	Placer     Placer
	Claimer    Claimer
	Limiter    Limiter
	Retries    RetryBudget
	Quarantine Quarantine
	Client     *engine.Client
	// Hosts is used to find the endpoint of a generation that a caller reattaches to.
	Hosts    *latest.Value[[]message.Host]
	Detached *DetachedSessions
	Takeover StreamTakeover
}
