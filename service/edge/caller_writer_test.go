package edge

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against the end of a complete answer without events that is cut, because its writer, which has nothing to write, is
// interrupted.
func TestWriterWithoutPartsIsNotInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &Server{}
		withBuffers(t, 1<<20)(server)
		caller := newPacedCaller(func(int) time.Duration { return 0 })
		output := server.buffers.newOutput(caller)
		output.start()
		output.stop(t.Context())
		select {
		case <-caller.interrupted:
			t.Fatal("the writer was interrupted")
		default:
		}
	})
}
