package harness

import (
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// stallToxicType is the name of stallToxic for toxiproxy.
const stallToxicType = "azuredyke_stall"

func init() { toxics.Register(stallToxicType, new(stallToxic)) }

// stallToxic drops all data without closing the connection, and hides that the other side has closed it. Connections that
// are opened after spareNew was set are not affected.
type stallToxic struct {
	spareNew atomic.Bool
	once     sync.Once
	ended    chan struct{}
}

// done returns the channel that end closes. The library creates toxics with their zero value.
func (s *stallToxic) done() chan struct{} {
	s.once.Do(func() { s.ended = make(chan struct{}) })
	return s.ended
}

// end closes the connections that are stalled. It is called once.
func (s *stallToxic) end() { close(s.done()) }

// NewState implements toxics.StatefulToxic. It is called when the toxic is added to a connection.
func (s *stallToxic) NewState() any { return s.spareNew.Load() }

// Pipe implements toxics.Toxic.
func (s *stallToxic) Pipe(stub *toxics.ToxicStub) {
	if spared, _ := stub.State.(bool); spared {
		new(toxics.NoopToxic).Pipe(stub)
		return
	}
	input := stub.Input
	for {
		select {
		case <-s.done():
			stub.Close()
			return
		case <-stub.Interrupt:
			return
		case chunk := <-input:
			if chunk == nil {
				input = nil
			}
		}
	}
}
