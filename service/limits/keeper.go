// Package limits enforces the limits of workspaces on this node.
//
// Each node enforces an equal share of a workspace's limits: the limit divided by the number of nodes that the node considers
// alive. No messages between nodes are needed. While nodes disagree on that number, the sum of their shares can exceed a
// limit by up to the ratio of the real number of nodes to the smallest number that a node assumes.
package limits

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/limit"
)

// mailboxCapacity is the number of messages that the mailbox holds; senders block when it is full.
const mailboxCapacity = 1024

// Limiter is the task that owns the usage of each workspace on this node and admits requests by the limits.
type Limiter struct {
	messages   mailbox.Mailbox[keeperMessage]
	config     *latest.Value[*config.Snapshot]
	nodes      *latest.Value[int]
	workspaces map[string]*limit.WorkspaceUsage
}

// NewLimiter returns a Keeper for the configuration in current. nodes holds the number of nodes that are alive.
func NewLimiter(current *latest.Value[*config.Snapshot], nodes *latest.Value[int]) *Limiter {
	return &Limiter{
		messages: mailbox.New[keeperMessage](mailboxCapacity), config: current, nodes: nodes,
		workspaces: map[string]*limit.WorkspaceUsage{},
	}
}

// Admit admits or refuses a request. An admitted request must be ended with End.
func (k *Limiter) Admit(ctx context.Context, workspace string, promptTokens int) (limit.Decision, error) {
	return mailbox.Call(ctx, k.messages, func(reply chan<- limit.Decision) keeperMessage {
		return startMessage{workspace: workspace, promptTokens: promptTokens, reply: reply}
	})
}

// Release records the end of an admitted request.
func (k *Limiter) Release(ctx context.Context, workspace string, outputTokens int) error {
	return k.messages.Send(ctx, endMessage{workspace: workspace, outputTokens: outputTokens})
}

// Run serves messages until ctx ends.
func (k *Limiter) Run(ctx context.Context) {
	for {
		snapshot, configChanged := k.config.Watch()
		nodes, nodesChanged := k.nodes.Watch()
		k.refresh(snapshot, nodes)
		if !k.serve(ctx, configChanged, nodesChanged) {
			return
		}
	}
}

// serve handles messages until the configuration or the number of nodes changes; it reports false when ctx has ended.
func (k *Limiter) serve(ctx context.Context, configChanged, nodesChanged <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case m := <-k.messages.Receive():
			m.apply(k)
		case <-configChanged:
			return true
		case <-nodesChanged:
			return true
		}
	}
}

// refresh applies the current limits. It removes deleted workspaces that have no running requests.
func (k *Limiter) refresh(s *config.Snapshot, nodes int) {
	now := time.Now()
	for name, w := range k.workspaces {
		if s.Workspace(name) == nil && w.Running() == 0 {
			delete(k.workspaces, name)
			continue
		}
		w.SetRates(now, ratesOf(s.Workspace(name)).Share(nodes))
	}
}

// workspace returns the usage of a workspace and creates it if necessary.
func (k *Limiter) workspace(name string) *limit.WorkspaceUsage {
	w, ok := k.workspaces[name]
	if !ok {
		w = limit.NewWorkspace(time.Now(), ratesOf(k.config.Load().Workspace(name)).Share(k.nodes.Load()))
		k.workspaces[name] = w
	}
	return w
}

// ratesOf returns the limits of a workspace. A deleted workspace has no limits.
func ratesOf(w *config.Workspace) limit.Limits {
	if w == nil {
		return limit.Limits{}
	}
	return limit.Limits{
		RequestsPerSecond: w.RequestsPerSecond, TokensPerSecond: w.TokensPerSecond, MaxConcurrency: w.MaxConcurrency,
	}
}
