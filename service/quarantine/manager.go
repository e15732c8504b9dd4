// Package quarantine prevents requests that crash endpoints from running again on any node.
//
// Each fingerprint has a home node, the first alive member by rendezvous hash. The home node decides whether a suspect may
// run, so that two nodes never run one suspect at the same time. A crash is broadcast to all nodes before the caller gets
// an answer.
package quarantine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/quarantine"
)

// mailboxCapacity is the number of messages that the mailbox holds; senders wait while it is full.
const mailboxCapacity = 1024

// Manager is the task that owns this node's table of suspect and quarantined requests.
type Manager struct {
	log      *zap.Logger
	peers    Peers
	messages mailbox.Mailbox[taskMessage]
	table    *quarantine.Table
}

// NewManager returns a Manager with an empty table.
func NewManager(log *zap.Logger, peers Peers) *Manager {
	return &Manager{
		log: log, peers: peers, messages: mailbox.New[taskMessage](mailboxCapacity), table: quarantine.NewTable(),
	}
}

// Standing returns how a request may run now. A request without crashes in the table of this node is Clear, which holds for
// almost all requests and needs no call; for other requests the home node decides. If the home node is unreachable or ctx
// ends, the result is Busy, so that the request does not run.
func (m *Manager) Standing(ctx context.Context, f quarantine.Fingerprint) quarantine.Standing {
	mark, err := mailbox.Call(ctx, m.messages, func(reply chan<- quarantine.Mark) taskMessage {
		return markMessage{fingerprint: f, reply: reply}
	})
	switch {
	case err != nil:
		return quarantine.Busy
	case len(mark.Crashes) == 0:
		return quarantine.Clear
	}
	if home, remote := m.peers.HomeNode(f); remote {
		standing, err := m.peers.Reserve(ctx, home, mark)
		if err != nil {
			return quarantine.Busy
		}
		return standing
	}
	return m.Reserve(ctx, mark)
}

// Reserve returns the standing of a request as its home node. The result Suspect reserves the run of the suspect. The mark
// of the calling node is merged first, since the table of a home node that has just started is empty. If ctx ends first,
// the result is Busy.
func (m *Manager) Reserve(ctx context.Context, mark quarantine.Mark) quarantine.Standing {
	standing, err := mailbox.Call(ctx, m.messages, func(reply chan<- quarantine.Standing) taskMessage {
		return reserveMessage{mark: mark, reply: reply}
	})
	if err != nil {
		return quarantine.Busy
	}
	return standing
}

// ReportCrash records a crash and returns once the other nodes have answered the broadcast of it or ctx has ended.
func (m *Manager) ReportCrash(ctx context.Context, f quarantine.Fingerprint, id quarantine.CrashID) {
	mark, err := mailbox.Call(ctx, m.messages, func(reply chan<- quarantine.Mark) taskMessage {
		return crashMessage{fingerprint: f, id: id, reply: reply}
	})
	if err != nil {
		return
	}
	m.log.Warn("endpoint crashed while it ran a request", zap.Uint64("fingerprint", uint64(f)),
		zap.String("crash", string(id)), zap.Int("crashes", len(mark.Crashes)))
	m.peers.Broadcast(ctx, mark)
}

// ReportRunEnd records the end of a suspect's reserved run on this node and on the home node of the request.
func (m *Manager) ReportRunEnd(ctx context.Context, f quarantine.Fingerprint, completed bool) {
	_ = m.messages.Send(ctx, runEndMessage{fingerprint: f, completed: completed})
	if home, remote := m.peers.HomeNode(f); remote {
		m.peers.ReportRunEnd(ctx, home, f, completed)
	}
}

// ApplyRunEnd records the end of a suspect's run that another node reports. An error means that ctx ended first.
func (m *Manager) ApplyRunEnd(ctx context.Context, f quarantine.Fingerprint, completed bool) error {
	return m.messages.Send(ctx, runEndMessage{fingerprint: f, completed: completed})
}

// Merge adds a mark from another node to the table. An error means that ctx ended first.
func (m *Manager) Merge(ctx context.Context, mark quarantine.Mark) error {
	return m.messages.Send(ctx, mergeMessage{mark: mark})
}

// Run handles messages until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-m.messages.Receive():
			msg.apply(time.Now(), m.table)
		}
	}
}
