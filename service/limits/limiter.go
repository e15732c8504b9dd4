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
	messages   mailbox.Mailbox[taskMessage]
	config     *latest.Value[*config.Snapshot]
	nodes      *latest.Value[int]
	workspaces map[string]*limit.WorkspaceUsage
}

// NewLimiter returns a Limiter for the configuration in current. nodes holds the number of nodes that are alive.
func NewLimiter(current *latest.Value[*config.Snapshot], nodes *latest.Value[int]) *Limiter {
	return &Limiter{
		messages: mailbox.New[taskMessage](mailboxCapacity), config: current, nodes: nodes,
		workspaces: map[string]*limit.WorkspaceUsage{},
	}
}

// Admit admits or refuses a request. An admitted request must be ended with Release.
func (l *Limiter) Admit(ctx context.Context, workspace string, promptTokens int) (limit.Decision, error) {
	return mailbox.Call(ctx, l.messages, func(reply chan<- limit.Decision) taskMessage {
		return admitMessage{workspace: workspace, promptTokens: promptTokens, reply: reply}
	})
}

// Release records the end of an admitted request.
func (l *Limiter) Release(ctx context.Context, workspace string, outputTokens int) error {
	return l.messages.Send(ctx, releaseMessage{workspace: workspace, outputTokens: outputTokens})
}

// Run serves messages until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	for {
		snapshot, configChanged := l.config.Watch()
		nodes, nodesChanged := l.nodes.Watch()
		l.refresh(snapshot, nodes)
		if !l.serve(ctx, configChanged, nodesChanged) {
			return
		}
	}
}

// serve handles messages until the configuration or the number of nodes changes; it reports false when ctx has ended.
func (l *Limiter) serve(ctx context.Context, configChanged, nodesChanged <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case m := <-l.messages.Receive():
			m.apply(l)
		case <-configChanged:
			return true
		case <-nodesChanged:
			return true
		}
	}
}

// refresh applies the current limits. It removes deleted workspaces that have no running requests.
func (l *Limiter) refresh(s *config.Snapshot, nodes int) {
	now := time.Now()
	for name, w := range l.workspaces {
		if s.Workspace(name) == nil && w.Running() == 0 {
			delete(l.workspaces, name)
			continue
		}
		w.SetLimits(now, limitsOf(s.Workspace(name)).Share(nodes))
	}
}

// workspace returns the usage of a workspace and creates it if necessary.
func (l *Limiter) workspace(name string) *limit.WorkspaceUsage {
	w, ok := l.workspaces[name]
	if !ok {
		w = limit.NewWorkspaceUsage(time.Now(), limitsOf(l.config.Load().Workspace(name)).Share(l.nodes.Load()))
		l.workspaces[name] = w
	}
	return w
}

// limitsOf returns the limits of a workspace. A deleted workspace has no limits.
func limitsOf(w *config.Workspace) limit.Limits {
	if w == nil {
		return limit.Limits{}
	}
	return limit.Limits{
		RequestsPerSecond: w.RequestsPerSecond, TokensPerSecond: w.TokensPerSecond, MaxConcurrency: w.MaxConcurrency,
	}
}
