// Package quarantine prevents requests that crash endpoints from running again on any node.
//
// Each fingerprint has a home node, chosen by rendezvous hash. The home node decides whether a suspect may run, so that two
// nodes never try one fingerprint at the same time. What a node learns of a fingerprint is sent to all nodes.
package quarantine

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/quarantine"
)

const (
	// mailboxCapacity is the number of messages that the mailbox holds; senders wait while it is full.
	mailboxCapacity = 1024
	// reserveTimeout bounds the call to a home node. A node that was lost stays listed for up to a minute.
	reserveTimeout = 200 * time.Millisecond
	// repeatInterval is the interval at which marks are sent again, and maxRepeatedMarks the number of them. A node that was
	// just started knows of a quarantine after one interval.
	repeatInterval   = time.Second
	maxRepeatedMarks = 32
	// maxLoggedMarks bounds the log lines of one change. A crash accuses each part of a prompt, of which there can be thousands.
	maxLoggedMarks = 256
)

// Manager is the task that owns this node's table of marks.
type Manager struct {
	log      *zap.Logger
	peers    Peers
	messages mailbox.Mailbox[taskMessage]
	table    *quarantine.Table
	// marks is the published copy of the table. Requests without a mark, almost all of them, need no message to the task.
	marks *latest.Value[quarantine.Snapshot]
}

// NewManager returns a Manager with an empty table.
func NewManager(log *zap.Logger, peers Peers) *Manager {
	return &Manager{
		log: log, peers: peers, messages: mailbox.New[taskMessage](mailboxCapacity), table: quarantine.NewTable(),
		marks: latest.New(quarantine.Snapshot{}),
	}
}

// Assess returns the standing of a request with the fingerprints, without reserving a trial.
func (m *Manager) Assess(fingerprints []quarantine.Fingerprint) quarantine.Assessment {
	return m.marks.Load().Assess(fingerprints)
}

// Admit returns how a request with the fingerprints may run now. After the result Suspect, ReportCrash, ReportAnswer or Release
// must be called. If ctx ends first, the result is Busy, so that the request does not run.
func (m *Manager) Admit(ctx context.Context, fingerprints []quarantine.Fingerprint) Admission {
	marks := m.marks.Load()
	assessment := marks.Assess(fingerprints)
	admission := newAdmission(assessment.Standing, fingerprints, marks)
	if assessment.Standing != quarantine.Suspect {
		return admission
	}
	for _, mark := range assessment.Suspects() {
		switch standing := m.reserveAtHome(ctx, mark); standing {
		case quarantine.Suspect:
			admission.reserved = append(admission.reserved, mark.Fingerprint)
		case quarantine.Busy, quarantine.Quarantined:
			m.Release(ctx, admission)
			admission.Standing, admission.reserved = standing, nil
			return admission
		}
	}
	if len(admission.reserved) == 0 {
		admission.Standing = quarantine.Clear
	}
	return admission
}

// reserveAtHome reserves a trial at the home node of a fingerprint, or on this node if the home node does not answer.
func (m *Manager) reserveAtHome(ctx context.Context, mark quarantine.Mark) quarantine.Standing {
	if home, remote := m.peers.HomeNode(mark.Fingerprint); remote {
		callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		standing, err := m.peers.Reserve(callCtx, home, mark)
		if err == nil {
			return standing
		}
		m.log.Info("home node of a fingerprint did not answer; reserving the trial on this node",
			zap.Uint64("fingerprint", uint64(mark.Fingerprint)), zap.String("home", home), zap.Error(err))
	}
	return m.Reserve(ctx, mark)
}

// Reserve returns the standing of a fingerprint as its home node. The result Suspect reserves its trial. The mark of the
// calling node is merged first, since the table of a home node that has just started is empty. If ctx ends first, the result
// is Busy.
func (m *Manager) Reserve(ctx context.Context, mark quarantine.Mark) quarantine.Standing {
	standing, err := mailbox.Call(ctx, m.messages, func(reply chan<- quarantine.Standing) taskMessage {
		return reserveMessage{mark: mark, reply: reply}
	})
	if err != nil {
		return quarantine.Busy
	}
	return standing
}

// ReportCrash records that an endpoint crashed under an admitted attempt, and returns once the other nodes have answered the
// broadcast of it or ctx has ended.
func (m *Manager) ReportCrash(ctx context.Context, a Admission) {
	m.change(ctx, zap.WarnLevel, "evidence against a fingerprint after a crash", func(reply chan<- []quarantine.Mark) taskMessage {
		return crashMessage{seen: a.Marks(), reply: reply}
	})
}

// ReportLateCrash records that an endpoint crashed under an admitted attempt that had begun its answer, and returns once the
// change is broadcast or ctx has ended.
func (m *Manager) ReportLateCrash(ctx context.Context, a Admission) {
	m.change(ctx, zap.WarnLevel, "evidence against a fingerprint after a crash", func(reply chan<- []quarantine.Mark) taskMessage {
		return lateCrashMessage{seen: a.Marks(), reply: reply}
	})
}

// Continue returns the admission of an attempt that continues an earlier one at another endpoint. It reserves no trial.
func (m *Manager) Continue(fingerprints []quarantine.Fingerprint) Admission {
	marks := m.marks.Load()
	return newAdmission(marks.Assess(fingerprints).Standing, fingerprints, marks)
}

// ReportBegun records that an endpoint began the answer of an admitted attempt. That clears the shared parts of the request of crashes
// before an answer, but neither them nor the request as a whole of crashes during one.
func (m *Manager) ReportBegun(ctx context.Context, a Admission) {
	m.discard(ctx, slices.DeleteFunc(slices.Clone(a.fingerprints), func(f quarantine.Fingerprint) bool { return !f.IsShared() || f.IsAnswerPart() }))
}

// ReportAnswer records that an admitted attempt got its complete answer, which clears its fingerprints.
func (m *Manager) ReportAnswer(ctx context.Context, a Admission) {
	if !m.discard(ctx, a.fingerprints) && slices.ContainsFunc(a.fingerprints, quarantine.Fingerprint.IsAnswerPart) {
		// A lost proof only makes the node less certain that the parts are sound.
		m.messages.TrySend(proofMessage{fingerprints: a.fingerprints})
	}
}

// discard discards the evidence against fingerprints and reports whether there was any.
func (m *Manager) discard(ctx context.Context, fingerprints []quarantine.Fingerprint) bool {
	if !m.Assess(fingerprints).HasEvidence() {
		return false
	}
	m.change(ctx, zap.InfoLevel, "evidence against a fingerprint discarded after an answer", func(reply chan<- []quarantine.Mark) taskMessage {
		return answerMessage{fingerprints: fingerprints, reply: reply}
	})
	return true
}

// change sends a message that changes the table, and logs and broadcasts the marks that have changed.
func (m *Manager) change(ctx context.Context, level zapcore.Level, event string, build func(reply chan<- []quarantine.Mark) taskMessage) {
	changed, err := mailbox.Call(ctx, m.messages, build)
	if err != nil || len(changed) == 0 {
		return
	}
	m.logMarks(level, event, changed)
	m.peers.Broadcast(ctx, changed)
}

// logMarks logs each mark, and only the number of those beyond maxLoggedMarks.
func (m *Manager) logMarks(level zapcore.Level, event string, marks []quarantine.Mark) {
	logged := marks[:min(maxLoggedMarks, len(marks))]
	for _, mark := range logged {
		m.log.Log(level, event, zap.Uint64("fingerprint", uint64(mark.Fingerprint)), zap.Int("evidence", mark.Evidence),
			zap.Uint32("term", mark.Term), zap.Stringer("standing", mark.Standing()))
	}
	if rest := len(marks) - len(logged); rest > 0 {
		m.log.Log(level, event+"; further marks not logged", zap.Int("marks", rest))
	}
}

// Release ends the trials that are reserved for an attempt without an outcome.
func (m *Manager) Release(ctx context.Context, a Admission) {
	for _, f := range a.reserved {
		_ = m.ApplyRelease(ctx, f)
		if home, remote := m.peers.HomeNode(f); remote {
			callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
			m.peers.Release(callCtx, home, f)
			cancel()
		}
	}
}

// ApplyRelease ends the trial of a fingerprint on this node. An error means that ctx ended first.
func (m *Manager) ApplyRelease(ctx context.Context, f quarantine.Fingerprint) error {
	return m.messages.Send(ctx, releaseMessage{fingerprint: f})
}

// OfferRelease ends the trial of a fingerprint like ApplyRelease, but not if the mailbox is full. The trial then times out.
func (m *Manager) OfferRelease(f quarantine.Fingerprint) {
	m.messages.TrySend(releaseMessage{fingerprint: f})
}

// Merge adds marks from another node to the table and forwards those that have changed it. An error means that ctx ended first.
func (m *Manager) Merge(ctx context.Context, marks []quarantine.Mark) error {
	return m.messages.Send(ctx, mergeMessage{marks: marks})
}

// Offer adds marks from another node like Merge, but drops them if the mailbox is full. They are repeated.
func (m *Manager) Offer(marks []quarantine.Mark) { m.messages.TrySend(mergeMessage{marks: marks}) }

// Restore adds marks from the key-value service to the table, and returns once they hold or ctx has ended.
func (m *Manager) Restore(ctx context.Context, marks []quarantine.Mark) error {
	_, err := mailbox.Call(ctx, m.messages, func(reply chan<- struct{}) taskMessage { return restoreMessage{marks: marks, reply: reply} })
	return err
}

// merge adds marks to the table, and publishes, logs and forwards those that have changed it. A mark is logged after it is published, so its
// line says that it holds.
func (m *Manager) merge(now time.Time, marks []quarantine.Mark, event string) {
	var changed, proven []quarantine.Mark
	for _, mark := range marks {
		if !m.table.Merge(now, mark) {
			continue
		}
		changed = append(changed, mark)
		if p, ok := m.table.MarkProven(now, mark.Fingerprint); ok {
			proven = append(proven, p)
		}
	}
	if len(changed) == 0 {
		return
	}
	m.publish(now)
	m.logMarks(zap.InfoLevel, event, changed)
	m.logMarks(zap.InfoLevel, "accused fingerprint has a complete answer", proven)
	m.peers.Forward(changed)
	if len(proven) > 0 {
		m.peers.Repeat(proven)
	}
}

// Run handles messages until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	mailbox.Serve(ctx, m.messages, repeatInterval, func(msg taskMessage) { msg.apply(time.Now(), m) }, m.repeatMarks)
}

// repeatMarks sends the marks with the most evidence again, and publishes the table with the present remaining times.
func (m *Manager) repeatMarks(now time.Time) {
	marks := m.table.Marks(now, maxRepeatedMarks)
	if len(marks) == 0 {
		return
	}
	m.table.Expire(now)
	m.publish(now)
	m.peers.Repeat(marks)
}

// publish publishes a copy of the table after a change.
func (m *Manager) publish(now time.Time) { m.marks.Publish(m.table.Snapshot(now)) }
