package node

import (
	"context"
	"slices"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/service/configuration"
)

// memberView is the task that derives the inputs of other tasks from the member table.
type memberView struct {
	self string
	// aliveIDs and aliveCount are the ids and the number of the nodes that are alive, including this one.
	aliveIDs   *latest.Value[[]string]
	aliveCount *latest.Value[int]
	// otherMembers holds the other nodes that are alive.
	otherMembers *latest.Value[[]configuration.Member]
	// isRelay is true when this node watches the configuration in the key-value service on behalf of its data centre.
	isRelay *latest.Value[bool]
}

// newMemberView returns a memberView whose only member is this node.
func newMemberView(self string) *memberView {
	return &memberView{
		self: self, aliveIDs: latest.New([]string{self}), aliveCount: latest.New(1),
		otherMembers: latest.New[[]configuration.Member](nil), isRelay: latest.New(true),
	}
}

// run publishes each change of the member table until ctx ends.
func (v *memberView) run(ctx context.Context, members *latest.Value[*membership.Table]) {
	for {
		table, changed := members.Watch()
		v.update(table)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// update publishes the values that differ from the last published ones.
func (v *memberView) update(t *membership.Table) {
	if ids := aliveIDs(t); !slices.Equal(ids, v.aliveIDs.Load()) {
		v.aliveIDs.Publish(ids)
		v.aliveCount.Publish(len(ids))
	}
	var others []configuration.Member
	for _, m := range t.Alive() {
		if m.ID != v.self {
			others = append(others, configuration.Member{ID: m.ID, Address: m.Address, Revision: m.ConfigRevision})
		}
	}
	if !slices.Equal(others, v.otherMembers.Load()) {
		v.otherMembers.Publish(others)
	}
	relay := slices.ContainsFunc(t.Relays(t.Self().DataCentre), func(m membership.Member) bool { return m.ID == v.self })
	if relay != v.isRelay.Load() {
		v.isRelay.Publish(relay)
	}
}

func aliveIDs(t *membership.Table) []string {
	ids := make([]string, 0, len(t.Alive()))
	for _, m := range t.Alive() {
		ids = append(ids, m.ID)
	}
	return ids
}
