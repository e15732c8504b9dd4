package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
)

var start = time.Unix(0, 0)

func endpoint(id string, revision int64) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", Born: 1, Revision: revision}
}

// Guards against a configuration that is reverted by a late answer with an older version.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	s := NewState()
	assert.Assert(t, s.Apply(start, ConfigurationWritten{Configuration: &catalog.Configuration{Version: 7}}))
	assert.Assert(t, !s.Apply(start, ConfigurationWritten{Configuration: &catalog.Configuration{Version: 5}}))
	assert.Equal(t, s.Snapshot().Configuration.Version, int64(7))
}

// Guards against the removal of running endpoints whose entries lapsed during an outage of the key-value service.
func TestLapsedEntryIsKeptUntilGraceEnds(t *testing.T) {
	s := NewState()
	s.Apply(start, EndpointWritten{endpoint("a", 1)})
	s.Apply(start, EndpointWritten{endpoint("b", 2)})
	s.StoreLost()
	s.Apply(start, EndpointRemoved{ID: "a", Revision: 3})
	s.Apply(start, EndpointRemoved{ID: "b", Revision: 4})
	assert.Assert(t, !s.Expire(start.Add(time.Hour)))
	regainedAt := start.Add(time.Hour)
	s.StoreRegained(regainedAt)
	s.Apply(regainedAt, EndpointWritten{endpoint("b", 5)})
	assert.Assert(t, !s.Expire(regainedAt.Add(time.Second)))
	assert.Equal(t, len(s.Snapshot().Endpoints["s"]), 2)
	assert.Assert(t, s.Expire(regainedAt.Add(lapseGrace)))
	assert.Equal(t, s.Snapshot().Endpoints["s"][0].ID, "b")
}

// Guards against work for an endpoint that has left while this node could not reach the key-value service, or soon after that: its removal
// counted as a lapsed lease for 2.2 s.
func TestDepartureInDoubtIsDroppedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		removed, added int
		leaving        bool
		dropped        bool
	}{
		"one of four":                        {removed: 1, dropped: true},
		"half":                               {removed: 2, dropped: true},
		"most":                               {removed: 3},
		"all":                                {removed: 4},
		"all replaced":                       {removed: 4, added: 4, dropped: true},
		"all, after they had announced this": {removed: 4, leaving: true, dropped: true},
	} {
		t.Run(name, func(t *testing.T) {
			ids, revision := []string{"a", "b", "c", "d"}, int64(1)
			apply := func(s *State, e catalog.Endpoint) {
				revision++
				e.Revision = revision
				s.Apply(start, EndpointWritten{e})
			}
			s := NewState()
			for _, id := range ids {
				apply(s, endpoint(id, 0))
			}
			s.StoreLost()
			s.StoreRegained(start)
			for i := range test.added {
				apply(s, endpoint(ids[i]+"-new", 0))
			}
			for _, id := range ids[:test.removed] {
				if test.leaving {
					e := endpoint(id, 0)
					e.Leaving = true
					apply(s, e)
				}
				revision++
				s.Apply(start, EndpointRemoved{ID: id, Revision: revision})
			}
			s.SettleRemovals()
			left := len(ids) + test.added
			if test.dropped {
				left -= test.removed
			}
			assert.Equal(t, len(s.Snapshot().Endpoints["s"]), left)
			s.SettleRemovals()
			assert.Equal(t, len(s.Snapshot().Endpoints["s"]), left, "the decision stands until the end of the grace")
			s.Expire(start.Add(lapseGrace))
			assert.Equal(t, len(s.Snapshot().Endpoints["s"]), len(ids)+test.added-test.removed)
		})
	}
}

// Guards against work for an endpoint whose entry was deleted while the key-value service was reachable.
func TestRemovedEndpointIsDroppedAtOnce(t *testing.T) {
	s := NewState()
	s.Apply(start, EndpointWritten{endpoint("a", 4)})
	assert.Assert(t, !s.Apply(start, EndpointRemoved{ID: "a", Revision: 3}))
	assert.Assert(t, s.Apply(start, EndpointRemoved{ID: "a", Revision: 5}))
	assert.Equal(t, len(s.Snapshot().Endpoints), 0)
}

// Guards against work for a leaving endpoint after another of its entries, written without the leaving mark, arrives.
func TestLeavingEndpointStaysLeaving(t *testing.T) {
	s := NewState()
	leaving := endpoint("a", 4)
	leaving.Leaving = true
	s.Apply(start, EndpointWritten{leaving})
	s.Apply(start, EndpointWritten{endpoint("a", 3)})
	s.Apply(start, EndpointWritten{endpoint("a", 5)})
	assert.Assert(t, s.Snapshot().Endpoints["s"][0].Leaving)
	restarted := endpoint("a", 6)
	restarted.Born = 2
	s.Apply(start, EndpointWritten{restarted})
	assert.Assert(t, !s.Snapshot().Endpoints["s"][0].Leaving)
}
