package ratelimit

import (
	"time"

	"azuredyke.dev/azuredyke/decision/limit"
)

// decideMessage asks for the decision on one request to an endpoint whose budget this node keeps.
type decideMessage struct {
	// node is the id of the node that asks; empty for this node.
	node     string
	question Question
	reply    chan<- limit.Grant
}

func (d decideMessage) apply(now time.Time, m *Manager) {
	budget := m.budgets[d.question.Endpoint]
	if budget == nil {
		budget = limit.NewEndpointBudget(now)
		m.budgets[d.question.Endpoint] = budget
	}
	d.reply <- budget.Take(now, d.node, d.question.Ask)
}
