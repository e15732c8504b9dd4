package edge

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
)

// Guards against a late change of which the logs don't tell who sent it, how large it was and how long it took.
func TestChangesAreLoggedWithTheirOrigin(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	v := newView(zap.New(core), Member{ID: "self"}, translateEndpoint)
	v.hasRead = true
	event := endpointEvent("a", 2, false)
	event.Entry.Value = []byte("12345")
	origin := changeOrigin{source: "10.0.0.1:7000", took: 300 * time.Millisecond}
	peerChangesMessage{reply: syncReply{Available: true, Revision: 2, Events: []backing.WatchEvent{event}}, origin: origin}.apply(v)
	logged := lines.FilterMessage("cluster state changed").All()
	assert.Equal(t, len(logged), 1)
	fields := logged[0].ContextMap()
	assert.Equal(t, fields["source"], origin.source)
	assert.Equal(t, fields["took"], origin.took)
	assert.Equal(t, fields["bytes"], int64(5))
}
