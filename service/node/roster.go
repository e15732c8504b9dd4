package node

import (
	"context"
	"slices"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/service/configuration"
)

// roster is the task that derives from the member table what other parts need.
type roster struct {
	self string
	// ids and count are those of the nodes that are alive, this one included.
	ids   *latest.Value[[]string]
	count *latest.Value[int]
	// others are the other nodes that are alive.
	others *latest.Value[[]configuration.Member]
	// relay says whether this node watches the configuration in the key-value service for its data centre.
	relay *latest.Value[bool]
}

// newRoster returns a roster of this node alone.
func newRoster(self string) *roster {
	return &roster{
		self: self, ids: latest.New([]string{self}), count: latest.New(1),
		others: latest.New[[]configuration.Member](nil), relay: latest.New(true),
	}
}

// run follows the member table until ctx ends.
func (r *roster) run(ctx context.Context, members *latest.Value[*membership.Table]) {
	for {
		table, changed := members.Watch()
		r.update(table)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// update publishes what has changed.
func (r *roster) update(t *membership.Table) {
	if ids := aliveIDs(t); !slices.Equal(ids, r.ids.Load()) {
		r.ids.Publish(ids)
		r.count.Publish(len(ids))
	}
	var others []configuration.Member
	for _, m := range t.Alive() {
		if m.ID != r.self {
			others = append(others, configuration.Member{ID: m.ID, Address: m.Address, Revision: m.ConfigRevision})
		}
	}
	if !slices.Equal(others, r.others.Load()) {
		r.others.Publish(others)
	}
	relay := slices.ContainsFunc(t.Relays(t.Self().DataCentre), func(m membership.Member) bool { return m.ID == r.self })
	if relay != r.relay.Load() {
		r.relay.Publish(relay)
	}
}

func aliveIDs(t *membership.Table) []string {
	ids := make([]string, 0, len(t.Alive()))
	for _, m := range t.Alive() {
		ids = append(ids, m.ID)
	}
	return ids
}
