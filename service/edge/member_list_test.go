package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
)

// Guards against nodes that each believe they are alone after an outage of the store in which all leases ended, and so each grant
// themselves the whole limit of an endpoint.
func TestNodesStayListedAfterAnOutageInWhichTheirLeasesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView(zap.NewNop(), Member{ID: "self"}, translateEndpoint)
		back, lost := Member{ID: "back", Address: "back:1"}, Member{ID: "lost", Address: "lost:1"}
		event := func(m Member, revision int64, deleted bool) backing.WatchEvent {
			e := backing.WatchEvent{Entry: backing.Entry{Key: memberPrefix + m.ID, ModRevision: revision}, Deleted: deleted}
			if !deleted {
				e.Entry.Value = m.encode()
			}
			return e
		}
		change := func(revision int64, events ...backing.WatchEvent) {
			storeChangedMessage{batch: backing.WatchBatch{Events: events, Revision: revision}}.apply(v)
		}
		change(2, event(back, 1, false), event(lost, 2, false))
		storeLostMessage{}.apply(v)
		time.Sleep(2 * registrationTTL)
		v.expire(time.Now())
		change(4, event(back, 3, true), event(lost, 4, true))
		assert.DeepEqual(t, v.current.Load().Nodes, []Member{back, lost})
		change(5, event(back, 5, false))
		v.expire(time.Now().Add(memberGrace - 1))
		assert.DeepEqual(t, v.current.Load().Nodes, []Member{back, lost})
		time.Sleep(memberGrace)
		v.expire(time.Now())
		assert.DeepEqual(t, v.current.Load().Nodes, []Member{back})
		change(6, event(back, 6, true))
		assert.Equal(t, len(v.current.Load().Nodes), 0, "a lease that ends while the store answers is that of a lost node")
	})
}
