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
	// viewCapacity bounds the waiting messages of the view; a sender waits for room.
	viewCapacity = 64
	// expireInterval is how often lapsed entries and silent nodes are looked at.
	expireInterval = 250 * time.Millisecond
)

// view is the task that owns what the node knows.
type view struct {
	log       *zap.Logger
	self      Member
	translate Translator
	messages  mailbox.Mailbox[viewMessage]
	current   *latest.Value[*Knowledge]

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
		current: latest.New(&Knowledge{Fleet: state.Snapshot(), topology: alone}),
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

// regained notes that the store answers.
func (v *view) regained() { v.state.ServiceRegained(time.Now()) }

// take applies changes to what the node believes, and logs each that makes a difference.
func (v *view) take(events []backing.WatchEvent) {
	if len(events) == 0 {
		return
	}
	now := time.Now()
	changed := false
	for _, e := range events {
		if strings.HasPrefix(e.Entry.Key, memberPrefix) {
			v.takeMember(e)
			continue
		}
		change, err := v.translate(e)
		if err != nil {
			v.log.Warn("entry not usable", zap.String("key", e.Entry.Key), zap.Int64("revision", e.Entry.ModRevision), logging.Cause(err))
		}
		if change != nil && v.state.Apply(now, change) {
			changed = true
			v.log.Info("belief changed", zap.String("key", e.Entry.Key), zap.Int64("revision", e.Entry.ModRevision),
				zap.Bool("deleted", e.Deleted), zap.Stringer("change", change))
		}
	}
	if changed {
		v.snapshot = v.state.Snapshot()
	}
}

func (v *view) takeMember(e backing.WatchEvent) {
	id := strings.TrimPrefix(e.Entry.Key, memberPrefix)
	if e.Deleted {
		delete(v.members, id)
	} else {
		m, err := decodeMember(e.Entry.Value)
		if err != nil {
			v.log.Warn("entry of a node not usable", zap.String("key", e.Entry.Key), logging.Cause(err))
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
	v.current.Publish(&Knowledge{
		Fleet: v.snapshot, Nodes: v.nodes, topology: v.topology, Position: v.mirror.Position(), Confirmed: v.mirror.Confirmed(),
	})
}

// since returns what another node lacks.
func (v *view) since(revision int64) syncReply {
	if v.mirror.Position() == 0 {
		return syncReply{}
	}
	events, ok := v.mirror.Since(revision)
	return syncReply{
		Known: ok, Position: v.mirror.Position(), Events: events,
		AgeMillis: bootclock.Now().Sub(v.mirror.Confirmed()).Milliseconds() + 1,
	}
}
