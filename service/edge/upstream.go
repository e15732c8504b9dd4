package edge

import (
	"context"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// upstream is one attempt that was answered. It must be ended.
type upstream struct {
	placed dispatch.Placed
	answer *exchange.Answer
	// leaving receives a value when the endpoint or that of the copy starts to leave.
	leaving <-chan departure
	cancel  context.CancelFunc
	placer  placer
	began   bool
	ended   bool
}

// noteFirstEvent says that the prompt has been computed.
func (u *upstream) noteFirstEvent() {
	if !u.began {
		u.began = true
		u.placer.began(u.placed.Run)
	}
}

// end closes the connection, which stops the endpoint's work, and gives the place back.
func (u *upstream) end(o dispatch.Outcome) {
	if u.ended {
		return
	}
	u.ended = true
	u.cancel()
	if u.answer != nil {
		_ = u.answer.Body.Close()
	}
	u.placer.release(u.placed.Run, o)
}
