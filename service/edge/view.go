package edge

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/mirror"
)

const (
	// viewCapacity bounds the queued messages of the view. A sender blocks while the queue is full.
	viewCapacity = 64
	// expireInterval is the interval at which lapsed entries and silent nodes are checked.
	expireInterval = 250 * time.Millisecond
)

// view is the task that owns the node's copy of the store and publishes the cluster state.
type view struct {
	log       *zap.Logger
	self      Member
	translate Translator
	messages  mailbox.Mailbox[viewMessage]
	current   *latest.Value[*clusterState]

	mirror   *mirror.Mirror
	state    *fleet.State
	members  map[string]Member
	snapshot *fleet.Snapshot
	nodes    []Member
	topology topology
}

func newView(log *zap.Logger, self Member, translate Translator) *view {
	state, alone := fleet.NewState(), newTopology(self, nil)
	return &view{
		log: log, self: self, translate: translate, messages: mailbox.New[viewMessage](viewCapacity),
		current: latest.New(&clusterState{Fleet: state.Snapshot(), topology: alone}),
		mirror:  mirror.New(), state: state, members: map[string]Member{}, snapshot: state.Snapshot(), topology: alone,
	}
}

// run handles messages until ctx ends.
func (v *view) run(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-v.messages.Receive():
			m.apply(v)
		case <-expire.C:
			if v.state.Expire(time.Now()) {
				v.snapshot = v.state.Snapshot()
				v.publish()
			}
		}
	}
}

// storeAnswered records that the store is reachable again.
func (v *view) storeAnswered() { v.state.StoreRegained(time.Now()) }

// applyEvents applies changes of the store to the state and logs each one that has an effect.
func (v *view) applyEvents(events []backing.WatchEvent) {
	if len(events) == 0 {
		return
	}
	now := time.Now()
	changed := false
	for _, e := range events {
		if strings.HasPrefix(e.Entry.Key, memberPrefix) {
			v.applyMember(e)
			continue
		}
		change, err := v.translate(e)
		if err != nil {
			v.log.Warn("entry not usable", zap.String("key", e.Entry.Key), zap.Int64("revision", e.Entry.ModRevision), logging.Cause(err))
		}
		if change != nil && v.state.Apply(now, change) {
			changed = true
			v.log.Info("cluster state changed", zap.String("key", e.Entry.Key), zap.Int64("revision", e.Entry.ModRevision),
				zap.Bool("deleted", e.Deleted), zap.Stringer("change", change))
		}
	}
	if changed {
		v.snapshot = v.state.Snapshot()
	}
}

// applyMember applies a change of a node's entry and computes the new topology.
func (v *view) applyMember(e backing.WatchEvent) {
	id := strings.TrimPrefix(e.Entry.Key, memberPrefix)
	if e.Deleted {
		delete(v.members, id)
	} else {
		m, err := decodeMember(e.Entry.Value)
		if err != nil {
			v.log.Warn("invalid node entry ignored", zap.String("key", e.Entry.Key), logging.Cause(err))
			return
		}
		if m.ID == v.self.ID {
			return
		}
		v.members[id] = m
	}
	v.nodes = nil
	for _, m := range v.members {
		v.nodes = append(v.nodes, m)
	}
	slices.SortFunc(v.nodes, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	version := v.topology.version + 1
	v.topology = newTopology(v.self, v.nodes)
	v.topology.version = version
	v.log.Info("nodes changed", zap.Int("others", len(v.nodes)), zap.String("node", id), zap.Bool("left", e.Deleted))
}

func (v *view) publish() {
	v.current.Publish(&clusterState{
		Fleet: v.snapshot, Nodes: v.nodes, topology: v.topology, Revision: v.mirror.Revision(), ConfirmedAt: v.mirror.ConfirmedAt(),
	})
}

// changesSince returns the changes after a revision as the reply to another node.
func (v *view) changesSince(revision int64) syncReply {
	if v.mirror.Revision() == 0 {
		return syncReply{}
	}
	events, ok := v.mirror.Since(revision)
	return syncReply{
		Available: ok, Revision: v.mirror.Revision(), Events: events,
		AgeMillis: bootclock.Now().Sub(v.mirror.ConfirmedAt()).Milliseconds() + 1,
	}
}
