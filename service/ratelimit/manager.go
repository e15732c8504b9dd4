package ratelimit

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/rendezvous"
	"azuredyke.dev/azuredyke/decision/limit"
)

const (
	// mailboxCapacity is the number of messages that the mailbox holds; senders wait while it is full.
	mailboxCapacity = 1024
	// askTimeout bounds the question to an owner, which takes a round trip of a few milliseconds.
	askTimeout = 100 * time.Millisecond
	// unreachableTime is the time for which an owner that did not answer is not asked. A node that was lost stays listed for up to a
	// minute.
	unreachableTime = 3 * time.Second
	// owners is the number of nodes that may keep the budget of an endpoint: the owner and a standby. Their grants together stay within
	// one and a half times the rate.
	owners = 2
	// unansweredRetryAfter is the time after which a node asks again if no owner answered.
	unansweredRetryAfter = 500 * time.Millisecond
	// budgetExpiry is the time after its last question from which a budget is dropped. A bucket is full long before.
	budgetExpiry   = 10 * time.Second
	expireInterval = time.Second
)

// Manager is the task that keeps the budgets of the endpoints of which this node is the owner or the standby.
type Manager struct {
	log      *zap.Logger
	peers    Peers
	messages mailbox.Mailbox[taskMessage]
	budgets  map[Endpoint]*limit.EndpointBudget
	// unreachableUntil is the time until which an owner is not asked, by node.
	unreachableUntil map[string]time.Time
}

// NewManager returns a Manager without budgets.
func NewManager(log *zap.Logger, peers Peers) *Manager {
	return &Manager{
		log: log, peers: peers, messages: mailbox.New[taskMessage](mailboxCapacity), budgets: map[Endpoint]*limit.EndpointBudget{},
		unreachableUntil: map[string]time.Time{},
	}
}

// Acquire asks whether this node may send one request to an endpoint now. Without an answer of an owner it may not.
func (m *Manager) Acquire(ctx context.Context, q Question) limit.Grant {
	candidates, err := mailbox.Call(ctx, m.messages, func(reply chan<- []owner) taskMessage {
		return ownersMessage{endpoint: q.Endpoint, reply: reply}
	})
	if err != nil {
		return limit.Grant{RetryAfter: unansweredRetryAfter}
	}
	for _, o := range candidates {
		q.Ask.Standby = o.standby
		if o.Address == "" {
			return m.Decide(ctx, "", q)
		}
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		grant, err := m.peers.Ask(callCtx, o.Address, q)
		cancel()
		if err == nil {
			return grant
		}
		if ctx.Err() != nil {
			break
		}
		m.log.Info("owner of the budget of an endpoint did not answer", zap.String("endpoint", q.Endpoint.ID), zap.String("owner", o.ID),
			zap.Bool("standby", o.standby), logging.Cause(err))
		_ = m.messages.Send(ctx, unreachableMessage{owner: o})
	}
	return limit.Grant{RetryAfter: unansweredRetryAfter}
}

// Decide decides a question of a node as the owner.
func (m *Manager) Decide(ctx context.Context, node string, q Question) limit.Grant {
	grant, err := mailbox.Call(ctx, m.messages, func(reply chan<- limit.Grant) taskMessage {
		return decideMessage{node: node, question: q, reply: reply}
	})
	if err != nil {
		return limit.Grant{RetryAfter: unansweredRetryAfter}
	}
	return grant
}

// Run handles messages until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	mailbox.Serve(ctx, m.messages, expireInterval, func(msg taskMessage) { msg.apply(time.Now(), m) }, m.expire)
}

// expire drops budgets that are no longer used, and lets owners be asked again.
func (m *Manager) expire(now time.Time) {
	maps.DeleteFunc(m.budgets, func(_ Endpoint, b *limit.EndpointBudget) bool { return now.Sub(b.AskedAt()) > budgetExpiry })
	maps.DeleteFunc(m.unreachableUntil, func(_ string, until time.Time) bool { return now.After(until) })
}

// ownersOf returns the reachable owners of an endpoint's budget.
func (m *Manager) ownersOf(now time.Time, e Endpoint) []owner {
	nodes, key := m.peers.Nodes(), e.key()
	ids := make([]string, len(nodes))
	for i, n := range nodes {
		ids[i] = n.ID
	}
	var reachable []owner
	for rank := range min(owners, len(nodes)) {
		i := slices.Index(ids, rendezvous.First(key, ids))
		if now.After(m.unreachableUntil[ids[i]]) {
			reachable = append(reachable, owner{Node: nodes[i], standby: rank > 0})
		}
		ids, nodes = slices.Delete(ids, i, i+1), slices.Delete(nodes, i, i+1)
	}
	return reachable
}
