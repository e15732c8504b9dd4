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

// Guards against a configuration that reverts when an older answer arrives late.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := NewState()
	assert.Assert(t, s.Apply(start, ConfigurationWritten{Configuration: &catalog.Configuration{Version: 7}}))
	assert.Assert(t, !s.Apply(start, ConfigurationWritten{Configuration: &catalog.Configuration{Version: 5}}))
	assert.Equal(t, s.Snapshot().Configuration.Version, int64(7))
}

// Guards against losing live endpoints because their entries lapsed while the service was away.
func TestLapsedEntryIsKeptUntilTheGraceEnds(t *testing.T) {
	s := NewState()
	s.Apply(start, EndpointWritten{endpoint("a", 1)})
	s.Apply(start, EndpointWritten{endpoint("b", 2)})
	s.ServiceLost()
	s.Apply(start, EndpointRemoved{ID: "a", Revision: 3})
	s.Apply(start, EndpointRemoved{ID: "b", Revision: 4})
	assert.Assert(t, !s.Expire(start.Add(time.Hour)))
	back := start.Add(time.Hour)
	s.ServiceRegained(back)
	s.Apply(back, EndpointWritten{endpoint("b", 5)})
	assert.Assert(t, !s.Expire(back.Add(time.Second)))
	assert.Equal(t, len(s.Snapshot().Endpoints["s"]), 2)
	assert.Assert(t, s.Expire(back.Add(lapseGrace)))
	assert.Equal(t, s.Snapshot().Endpoints["s"][0].ID, "b")
}

// Guards against work for an endpoint whose entry was removed while the service is well.
func TestRemovedEndpointIsGoneAtOnce(t *testing.T) {
	s := NewState()
	s.Apply(start, EndpointWritten{endpoint("a", 4)})
	assert.Assert(t, !s.Apply(start, EndpointRemoved{ID: "a", Revision: 3}))
	assert.Assert(t, s.Apply(start, EndpointRemoved{ID: "a", Revision: 5}))
	assert.Equal(t, len(s.Snapshot().Endpoints), 0)
}

// Guards against an endpoint that is used again because an older entry arrives after it said that it leaves.
func TestLeavingEndpointDoesNotComeBack(t *testing.T) {
	s := NewState()
	leaving := endpoint("a", 4)
	leaving.Leaving = true
	s.Apply(start, EndpointWritten{leaving})
	s.Apply(start, EndpointWritten{endpoint("a", 3)})
	s.Apply(start, EndpointWritten{endpoint("a", 5)})
	assert.Assert(t, s.Snapshot().Endpoints["s"][0].Leaving)
	reborn := endpoint("a", 6)
	reborn.Born = 2
	s.Apply(start, EndpointWritten{reborn})
	assert.Assert(t, !s.Snapshot().Endpoints["s"][0].Leaving)
}
