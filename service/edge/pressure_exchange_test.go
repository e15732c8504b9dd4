package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/gather"
	"azuredyke.dev/azuredyke/decision/overload"
)

func waitingPressure(requests int) (p overload.Pressure) {
	for range requests {
		p.AddWaiting(overload.Shape{Service: "s", Tokens: 100})
	}
	return p
}

// Guards against a relay whose own requests make room for themselves, against one that ignores the other data centres, and against
// a node that goes on leaving room after the others have become silent.
func TestPressureOfOthersReachesTheDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(zap.NewNop(), dispatch.Params{RetryWindow: time.Second, OrderedAdmission: true}, latest.New(&clusterState{}))
		p := &peers{self: Member{ID: "self", DataCentre: "a"}, duty: gather.NewRelayDuty(), pressure: newPressureExchange(d)}
		p.duty.SetRank(0)
		deliver := func() {
			for {
				select {
				case m := <-d.messages.Receive():
					m.apply(d)
				default:
					return
				}
			}
		}
		time.Sleep(time.Second)
		d.ownPressure.Publish(waitingPressure(2))
		p.pressure.schedule.Request()
		pressureReport{Node: "other", Pressure: waitingPressure(3)}.apply(p)
		pressureSum{DataCentre: "b", Pressure: waitingPressure(4)}.apply(p)
		p.pressure.sendDue(p, time.Now())
		deliver()
		assert.Assert(t, d.queue.OthersWait(time.Now()))
		assert.Equal(t, d.queue.Others(time.Now()).Requests("s", 0), 7)
		// Nothing new is due at once.
		at := p.pressure.nextDue(p, time.Now(), time.Now().Add(time.Hour))
		assert.Equal(t, at, time.Now().Add(50*time.Millisecond))
		time.Sleep(time.Second)
		assert.Assert(t, !d.queue.OthersWait(time.Now()))
	})
}
