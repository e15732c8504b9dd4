package node

import (
	"context"
	"slices"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/membership"
)

// roster is the task that derives from the member table what other parts need: the ids and the number of the nodes that
// are alive.
type roster struct {
	ids   *latest.Value[[]string]
	count *latest.Value[int]
}

// newRoster returns a roster of this node alone.
func newRoster(self string) *roster {
	return &roster{ids: latest.New([]string{self}), count: latest.New(1)}
}

// run follows the member table until ctx ends.
func (r *roster) run(ctx context.Context, members *latest.Value[*membership.Table]) {
	for {
		table, changed := members.Watch()
		if ids := aliveIDs(table); !slices.Equal(ids, r.ids.Load()) {
			r.ids.Publish(ids)
			r.count.Publish(len(ids))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func aliveIDs(t *membership.Table) []string {
	ids := make([]string, 0, len(t.Alive()))
	for _, m := range t.Alive() {
		ids = append(ids, m.ID)
	}
	return ids
}
