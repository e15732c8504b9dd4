package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// leavingReporter reports that every engine is leaving.
type leavingReporter struct{}

func (leavingReporter) Report(context.Context, string) (exchange.Report, error) {
	return exchange.Report{Leaving: true}, nil
}

// Guards against engines that are probed, which is charged, although their runs can continue at a backup, and against runs that are lost because their engine announces its departure just after the store has fallen silent: with a notice
// of 1.5 s and half a second for moving the run, the node must hear of it within a second.
func TestDepartureIsFoundSoonAfterTheStoreFellSilent(t *testing.T) {
	for age, wantProbe := range map[time.Duration]bool{500 * time.Millisecond: false, 950 * time.Millisecond: true} {
		synctest.Test(t, func(t *testing.T) {
			messages := mailbox.New[dispatcherMessage](4)
			cluster := latest.New(&clusterState{Revision: 1, ConfirmedAt: bootclock.Now().Add(-age)})
			p := &prober{log: zap.NewNop(), reporter: leavingReporter{}, cluster: cluster, dispatcher: messages}
			ctx, stop := context.WithCancel(t.Context())
			go p.run(ctx)
			leaving := 0
			for end := time.After(time.Second / 2); end != nil; {
				select {
				case m := <-messages.Receive():
					switch m := m.(type) {
					case busyEnginesMessage:
						assert.Assert(t, !m.backedUp)
						m.reply <- []fleet.Endpoint{{}}
					case endpointStatementMessage:
						leaving++
					}
				case <-end:
					end = nil
				}
			}
			stop()
			synctest.Wait()
			assert.Equal(t, leaving > 0, wantProbe, "age %v", age)
		})
	}
}
