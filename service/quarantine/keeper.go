// Package quarantine keeps requests that crash endpoints from running again, on all nodes.
//
// Each fingerprint has a home node, the first alive member by rendezvous hash. The home decides whether a suspect may run,
// so that two nodes never run one suspect at the same time. Crashes are told to all nodes before the caller gets an answer.
package quarantine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/quarantine"
)

// capacity bounds the waiting messages; senders wait beyond it.
const capacity = 1024

// Keeper is the task that owns the node's table of suspect and quarantined requests.
type Keeper struct {
	log      *zap.Logger
	peers    Peers
	messages mailbox.Mailbox[keeperMessage]
	table    *quarantine.Table
}

// NewKeeper returns a Keeper with an empty table.
func NewKeeper(log *zap.Logger, peers Peers) *Keeper {
	return &Keeper{
		log: log, peers: peers, messages: mailbox.New[keeperMessage](capacity), table: quarantine.NewTable(),
	}
}

// Standing says how a request may run now. The first look is at the node's own table, since almost all requests are clear;
// for a suspect the home node decides. An unreachable home counts as Busy, so the request does not run.
func (k *Keeper) Standing(ctx context.Context, f quarantine.Fingerprint) quarantine.Standing {
	mark, err := mailbox.Call(ctx, k.messages, func(reply chan<- quarantine.Mark) keeperMessage {
		return markMessage{fingerprint: f, reply: reply}
	})
	switch {
	case err != nil:
		return quarantine.Busy
	case len(mark.Crashes) == 0:
		return quarantine.Clear
	}
	if home, remote := k.peers.Home(f); remote {
		standing, err := k.peers.Reserve(ctx, home, mark)
		if err != nil {
			return quarantine.Busy
		}
		return standing
	}
	return k.Reserve(ctx, mark)
}

// Reserve decides as the home node. A Suspect answer reserves the suspect's run. The asking node's mark is taken over
// first, since a home node that has just started knows none.
func (k *Keeper) Reserve(ctx context.Context, m quarantine.Mark) quarantine.Standing {
	standing, err := mailbox.Call(ctx, k.messages, func(reply chan<- quarantine.Standing) keeperMessage {
		return reserveMessage{mark: m, reply: reply}
	})
	if err != nil {
		return quarantine.Busy
	}
	return standing
}

// Crashed records a crash and returns once the other nodes know it or ctx has ended.
func (k *Keeper) Crashed(ctx context.Context, f quarantine.Fingerprint, id quarantine.CrashID) {
	mark, err := mailbox.Call(ctx, k.messages, func(reply chan<- quarantine.Mark) keeperMessage {
		return crashMessage{fingerprint: f, id: id, reply: reply}
	})
	if err != nil {
		return
	}
	k.log.Warn("endpoint crashed while it ran a request", zap.Uint64("fingerprint", uint64(f)),
		zap.String("crash", string(id)), zap.Int("crashes", len(mark.Crashes)))
	k.peers.Broadcast(ctx, mark)
}

// Finished records how the reserved run of a suspect ended, here and at its home node.
func (k *Keeper) Finished(ctx context.Context, f quarantine.Fingerprint, completed bool) {
	_ = k.messages.Send(ctx, finishMessage{fingerprint: f, completed: completed})
	if home, remote := k.peers.Home(f); remote {
		k.peers.Finished(ctx, home, f, completed)
	}
}

// Finish takes over the end of a suspect's run from another node.
func (k *Keeper) Finish(ctx context.Context, f quarantine.Fingerprint, completed bool) error {
	return k.messages.Send(ctx, finishMessage{fingerprint: f, completed: completed})
}

// Merge takes over a mark from another node.
func (k *Keeper) Merge(ctx context.Context, m quarantine.Mark) error {
	return k.messages.Send(ctx, mergeMessage{mark: m})
}

// Run serves messages until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-k.messages.Receive():
			m.apply(time.Now(), k.table)
		}
	}
}
