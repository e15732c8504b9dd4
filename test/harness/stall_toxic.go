package harness

import (
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// stallToxicType is the name under which stallToxic is registered with toxiproxy.
const stallToxicType = "azuredyke_stall"

func init() { toxics.Register(stallToxicType, new(stallToxic)) }

// stallToxic drops all data without closing the connection, and does not propagate a close by the other side. Connections
// that are opened after exemptNew is set are not affected.
type stallToxic struct {
	exemptNew atomic.Bool
	once      sync.Once
	ended     chan struct{}
}

// done returns the channel that end closes. The channel is created on first use, because toxiproxy creates toxics as zero
// values.
func (s *stallToxic) done() chan struct{} {
	s.once.Do(func() { s.ended = make(chan struct{}) })
	return s.ended
}

// end closes the stalled connections. It must be called only once.
func (s *stallToxic) end() { close(s.done()) }

// NewState implements toxics.StatefulToxic. Toxiproxy calls it when the toxic is added to a connection.
func (s *stallToxic) NewState() any { return s.exemptNew.Load() }

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
