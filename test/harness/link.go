package harness

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Link is the network path to one server.
type Link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
	// stalls counts the stalls, which gives each its own name.
	stalls int
	// stalled holds the toxics of the stalls that have not ended.
	stalled []*stallToxic
}

// directions are the two directions of a connection, as toxiproxy names them.
var directions = []string{"upstream", "downstream"}

// newLink opens a link to a server until the test ends.
func newLink(t testing.TB, name, target string) *Link {
	t.Helper()
	l := &Link{t: t, proxy: newProxy(name, "127.0.0.1:0", target)}
	assert.NilError(t, l.proxy.Start(), name)
	t.Cleanup(l.close)
	return l
}

func newProxy(name, listen, target string) *toxiproxy.Proxy {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	return toxiproxy.NewProxy(server, name, listen, target)
}

// Address returns the address at which the server is reached over the link.
func (l *Link) Address() string { return l.proxy.Listen }

// Stall stops all data on all connections, old and new, without closing any.
func (l *Link) Stall() { l.stall(false, directions...) }

// StallPresent stops all data on the connections that are open now. New connections are not affected. It may be called
// again for connections that were opened since.
func (l *Link) StallPresent() { l.stall(true, directions...) }

// StallOneWay stops all data to the server, or all data from it.
func (l *Link) StallOneWay(toServer bool) {
	if toServer {
		l.stall(false, directions[0])
		return
	}
	l.stall(false, directions[1])
}

func (l *Link) stall(spareNew bool, directions ...string) {
	l.stalls++
	for _, d := range directions {
		toxic, err := l.add(fmt.Sprint(stallToxicType, l.stalls), d, stallToxicType, "{}")
		assert.NilError(l.t, err)
		l.stalled = append(l.stalled, toxic)
		if spareNew {
			toxic.spareNew.Store(true)
		}
	}
}

// Delay adds a latency to each direction.
func (l *Link) Delay(d time.Duration) {
	for _, direction := range directions {
		_, err := l.add("latency", direction, "latency", fmt.Sprintf(`{"latency":%d}`, d.Milliseconds()))
		assert.NilError(l.t, err)
	}
}

// add puts a toxic on one direction. The result is nil for types other than stallToxicType.
func (l *Link) add(name, direction, kind, attributes string) (*stallToxic, error) {
	wrapper, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name":"%s_%s","type":%q,"stream":%q,"attributes":%s}`, name, direction, kind, direction, attributes)))
	if err != nil {
		return nil, err
	}
	stall, _ := wrapper.Toxic.(*stallToxic)
	return stall, nil
}

// Heal ends stalls and delays, and closes all connections. The proxy is replaced, since toxiproxy cannot add toxics while
// a connection that was stalled is being closed.
func (l *Link) Heal() {
	l.close()
	l.proxy = newProxy(l.proxy.Name, l.proxy.Listen, l.proxy.Upstream)
	assert.NilError(l.t, l.proxy.Start())
}

// close ends all connections and the tasks of their toxics.
func (l *Link) close() {
	for _, toxic := range l.stalled {
		toxic.end()
	}
	l.stalled = nil
	l.proxy.Stop()
}

// Cut closes all connections and refuses new ones until Restore.
func (l *Link) Cut() { l.close() }

// Restore accepts connections again.
func (l *Link) Restore() { assert.NilError(l.t, l.proxy.Start()) }
