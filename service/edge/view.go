package edge

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/mirror"
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/service/rollout"
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

	mirror *mirror.Mirror
	packer *valuePacker
	// hasRead is set once entries of the store have been applied.
	hasRead bool
	// configuration is the entry of the configuration in force. The mirror has an older one if the store has lost it.
	configuration backing.WatchEvent
	state         *fleet.State
	members       *memberList
	ownLease      backing.LeaseID
	snapshot      *fleet.Snapshot
	nodes         []Member
	topology      topology

	// quarantine gets the marks that are read in the store; nil if there is none. storedMarks holds the present entries.
	quarantine  restorer
	storedMarks *latest.Value[quarantine.Stored]

	// rollouts is set if operators may order roll-outs. ordersIgnored counts the orders that cannot be used.
	rollouts      bool
	ordersIgnored tally.Counter
	decider       rollout.Holder
}

func newView(log *zap.Logger, self Member, translate Translator) *view {
	state, alone := fleet.NewState(), newTopology(self, nil)
	return &view{
		log: log, self: self, translate: translate, messages: mailbox.New[viewMessage](viewCapacity),
		current:     latest.New(&clusterState{Fleet: state.Snapshot(), topology: alone}),
		storedMarks: latest.New(quarantine.Stored{}),
		mirror:      mirror.New(), packer: newValuePacker(), state: state, members: newMemberList(), snapshot: state.Snapshot(), topology: alone,
	}
}

// run handles messages until ctx ends.
func (v *view) run(ctx context.Context) {
	mailbox.Serve(ctx, v.messages, expireInterval, func(m viewMessage) { m.apply(v) }, v.expire)
}

// expire removes endpoints and nodes whose entries lapsed and were not written again in time.
func (v *view) expire(now time.Time) {
	endpoints, members := v.state.Expire(now), v.members.expire(now)
	if endpoints {
		v.snapshot = v.state.Snapshot()
	}
	if members {
		v.updateTopology()
	}
	if endpoints || members {
		v.log.Info("removed entries that stayed missing after an outage or a restore of the store", zap.Bool("endpoints_or_data_centres", endpoints),
			zap.Bool("nodes", members))
		v.publish()
	}
}

// storeLost records that the store does not answer.
func (v *view) storeLost() {
	v.state.StoreLost()
	v.members.storeLost()
}

// storeAnswered records that the store is reachable again.
func (v *view) storeAnswered() {
	now := time.Now()
	v.state.StoreRegained(now)
	v.members.storeRegained(now)
}

// isOutdated reports whether a revision is of an era before that of the copy. What was read in it may have been lost when the store was
// restored, and does not confirm the copy.
func (v *view) isOutdated(revision int64) bool {
	return backing.RevisionEra(revision) < backing.RevisionEra(v.mirror.Revision())
}

// beginEra prepares the state for a read of all entries of a later era, if the revision is of one. The store has lost its latest changes, so
// what is missing in it counts as lapsed, and what it has may be outdated.
func (v *view) beginEra(revision int64) {
	known := v.mirror.Revision()
	if known == 0 || backing.RevisionEra(revision) <= backing.RevisionEra(known) {
		return
	}
	v.log.Warn("store was restored from an older copy; applying its entries again", revisionField(known), itsRevisionField(revision))
	now := time.Now()
	v.state.BeginEra(now)
	v.members.beginEra(now)
}

// applyEvents applies changes of the store to the state and logs each one that has an effect. The entries of the first
// read are logged at debug level, because all nodes read them at the same moment when a fleet starts.
func (v *view) applyEvents(origin changeOrigin, events []backing.WatchEvent) {
	if len(events) == 0 {
		return
	}
	now := time.Now()
	level := zap.InfoLevel
	if !v.hasRead {
		v.hasRead = true
		v.log.Info("cluster state read", zap.Int("entries", len(events)), revisionField(v.mirror.Revision()))
		level = zap.DebugLevel
	}
	changed, membersChanged := false, false
	var marks []backing.WatchEvent
	for _, e := range events {
		v.packer.forget(e)
		if strings.HasPrefix(e.Entry.Key, memberPrefix) {
			membersChanged = v.applyMember(now, e) || membersChanged
			continue
		}
		if strings.HasPrefix(e.Entry.Key, quarantine.MarkPrefix) {
			marks = append(marks, e)
			continue
		}
		if e.Entry.Key == rollout.DeciderKey {
			v.applyDecider(e)
			continue
		}
		change, err := v.translateChange(e)
		if err != nil {
			v.log.Warn("entry not usable", zap.String("key", e.Entry.Key), revisionField(e.Entry.ModRevision), logging.Cause(err))
		}
		if change != nil && v.state.Apply(now, change) {
			changed = true
			if _, ok := change.(fleet.ConfigurationWritten); ok {
				v.configuration = e
			}
			v.log.Log(level, "cluster state changed", append(origin.fields(), zap.String("key", e.Entry.Key),
				revisionField(e.Entry.ModRevision), zap.Int("bytes", len(e.Entry.Value)), zap.Bool("deleted", e.Deleted),
				zap.Stringer("change", change))...)
		}
	}
	v.applyMarks(marks)
	changed = v.settleRemovals(origin) || changed
	if changed {
		v.snapshot = v.state.Snapshot()
	}
	if membersChanged {
		v.updateTopology()
	}
}

// settleRemovals decides which endpoints have left whose entries went missing around an outage of the store, and reports whether there
// were any.
func (v *view) settleRemovals(origin changeOrigin) bool {
	settled := v.state.SettleRemovals()
	if len(settled.Departed)+len(settled.Lapsed) > 0 {
		v.log.Info("entries of endpoints went missing around an outage of the store", append(origin.fields(),
			revisionField(v.mirror.Revision()), zap.Strings("departed", settled.Departed), zap.Strings("lapsed", settled.Lapsed))...)
	}
	return len(settled.Departed) > 0
}

// applyMember applies a change of a node's entry and reports whether the other nodes have changed.
func (v *view) applyMember(now time.Time, e backing.WatchEvent) bool {
	id := strings.TrimPrefix(e.Entry.Key, memberPrefix)
	if id == v.self.ID {
		v.applyOwnEntry(e)
		return false
	}
	if e.Deleted {
		return v.members.remove(now, id)
	}
	m, err := decodeMember(e.Entry.Value)
	if err != nil {
		v.log.Warn("invalid node entry ignored", zap.String("key", e.Entry.Key), logging.Cause(err))
		return false
	}
	return v.members.put(id, m)
}

// applyOwnEntry applies a change of this node's own entry.
func (v *view) applyOwnEntry(e backing.WatchEvent) {
	v.ownLease = 0
	if !e.Deleted && bytes.Equal(e.Entry.Value, v.self.encode()) {
		v.ownLease = e.Entry.Lease
	}
}

// updateTopology computes the topology of the current nodes.
func (v *view) updateTopology() {
	before := len(v.nodes)
	v.nodes = v.members.sorted()
	version := v.topology.version + 1
	v.topology = newTopology(v.self, v.nodes)
	v.topology.version = version
	v.log.Info("nodes changed", zap.Int("others", len(v.nodes)), zap.Int("others_before", before), revisionField(v.mirror.Revision()))
}

func (v *view) publish() {
	v.current.Publish(&clusterState{
		Fleet: v.snapshot, Nodes: v.nodes, OwnLease: v.ownLease, topology: v.topology, Decider: v.decider, Revision: v.mirror.Revision(), ConfirmedAt: v.mirror.ConfirmedAt(),
	})
}
