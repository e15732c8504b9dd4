package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/transport/peer"
)

const (
	// loadInterval is how often nodes tell each other what they have in flight. Engines report half a second late.
	loadInterval = 150 * time.Millisecond
	// syncInterval is how often a node that hears nothing from the store asks another one.
	syncInterval = 300 * time.Millisecond
	// syncAfter is the age of its knowledge from which a node asks others; above a poll's wait.
	syncAfter = pollWait + 300*time.Millisecond
	// syncTimeout bounds one question.
	syncTimeout = 250 * time.Millisecond
	// kinds of messages between nodes.
	kindLoad = "edge.load"
	kindSync = "edge.sync"
)

// peers is the task that exchanges load and changes with the other nodes.
type peers struct {
	log        *zap.Logger
	hub        *peer.Hub
	seeds      []string
	known      *latest.Value[*Knowledge]
	view       mailbox.Mailbox[viewMessage]
	dispatcher mailbox.Mailbox[dispatcherMessage]
	// helped is set while another node stands in for the store.
	helped bool
}

// register installs the handlers; it is called before the hub runs.
func (p *peers) register() {
	peer.HandleNotice(p.hub, kindLoad, 0, func(ctx context.Context, from string, n loadNotice) {
		_ = p.dispatcher.Send(ctx, peerLoadMessage{node: from, loads: n.Loads})
	})
	peer.Handle(p.hub, kindSync, 0, func(ctx context.Context, _ string, q syncRequest) (syncReply, error) {
		return mailbox.Call(ctx, p.view, func(reply chan<- syncReply) viewMessage {
			return syncMessage{since: q.Since, reply: reply}
		})
	})
}

// run exchanges until ctx ends.
func (p *peers) run(ctx context.Context) {
	load := time.NewTicker(loadInterval)
	defer load.Stop()
	sync := time.NewTicker(syncInterval)
	defer sync.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-load.C:
			p.tellLoad(ctx)
		case <-sync.C:
			p.sync(ctx)
		}
	}
}

// tellLoad sends what this node has in flight to all others.
func (p *peers) tellLoad(ctx context.Context) {
	nodes := p.known.Load().Nodes
	if len(nodes) == 0 {
		return
	}
	loads, err := mailbox.Call(ctx, p.dispatcher, func(reply chan<- []dispatch.Load) dispatcherMessage {
		return ownLoadMessage{reply: reply}
	})
	if err != nil {
		return
	}
	for _, n := range nodes {
		peer.Notify(p.hub, n.Address, kindLoad, loadNotice{Loads: loads})
	}
}

// sync asks another node for changes when the store has been silent.
func (p *peers) sync(ctx context.Context) {
	k := p.known.Load()
	if age := bootclock.Now().Sub(k.Confirmed); age < syncAfter {
		if p.helped {
			p.helped = false
			p.log.Info("store heard directly again", zap.Duration("age", age))
		}
		return
	}
	addresses := append([]string(nil), p.seeds...)
	for _, n := range k.Nodes {
		addresses = append(addresses, n.Address)
	}
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))]
	asked := bootclock.Now()
	call, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply, err := peer.Call[syncRequest, syncReply](call, p.hub, address, kindSync, syncRequest{Since: k.Position})
	if err != nil || !reply.Known {
		p.log.Debug("no help from another node", zap.String("address", address), zap.Error(err))
		return
	}
	if !p.helped {
		p.helped = true
		p.log.Info("another node stands in for the store", zap.String("address", address),
			zap.Int64("revision", reply.Position), zap.Int64("age_ms", reply.AgeMillis))
	}
	_ = p.view.Send(ctx, peerChangesMessage{reply: reply, asked: asked})
}
