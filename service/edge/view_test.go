package edge

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// translate takes every key for that of an endpoint.
func translate(e backing.WatchEvent) (fleet.Change, error) {
	id := strings.TrimPrefix(e.Entry.Key, "endpoints/")
	if e.Deleted {
		return fleet.EndpointRemoved{ID: id, Revision: e.Entry.ModRevision}, nil
	}
	return fleet.EndpointWritten{Endpoint: catalog.Endpoint{ID: id, Service: "s", Revision: e.Entry.ModRevision}}, nil
}

func endpointEvent(id string, revision int64, deleted bool) backing.WatchEvent {
	return backing.WatchEvent{Entry: backing.Entry{Key: "endpoints/" + id, ModRevision: revision}, Deleted: deleted}
}

// Guards against endpoints that stay in use after they were removed, at a node that lost the store and since then follows
// another node that has not.
func TestRemovalsCountAgainOnceAnotherNodeHearsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView(zap.NewNop(), Member{ID: "self"}, translate)
		entry := endpointEvent("a", 1, false).Entry
		storeReadMessage{result: backing.RangeResult{Entries: []backing.Entry{entry}, Revision: 1}}.apply(v)
		storeLostMessage{}.apply(v)
		peerChangesMessage{reply: syncReply{Known: true, Position: 1}}.apply(v)
		time.Sleep(time.Minute)
		peerChangesMessage{reply: syncReply{Known: true, Position: 2, Events: []backing.WatchEvent{endpointEvent("a", 2, true)}}}.apply(v)
		assert.Equal(t, len(v.current.Load().Fleet.Endpoints["s"]), 0)
	})
}

// Guards against dropping live endpoints whose entries lapsed, on the word of a node that does not hear the store either.
func TestLapsesStayLapsesWhileNobodyHearsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView(zap.NewNop(), Member{ID: "self"}, translate)
		entry := endpointEvent("a", 1, false).Entry
		storeReadMessage{result: backing.RangeResult{Entries: []backing.Entry{entry}, Revision: 1}}.apply(v)
		storeLostMessage{}.apply(v)
		old := syncReply{Known: true, Position: 2, Events: []backing.WatchEvent{endpointEvent("a", 2, true)}, AgeMillis: maxRelayAge.Milliseconds() + 1}
		peerChangesMessage{reply: old}.apply(v)
		time.Sleep(time.Minute)
		assert.Assert(t, !v.state.Expire(time.Now()))
		assert.Equal(t, len(v.current.Load().Fleet.Endpoints["s"]), 1)
	})
}
