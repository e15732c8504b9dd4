package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/overload"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Kinds of notices about pressure between nodes.
const (
	kindPressureReport = "edge.pressure_report"
	kindPressureSum    = "edge.pressure_sum"
	kindOthersPressure = "edge.pressure_others"
)

// pressureExchange is the state of the exchange of pressure, which takes the way of the load. It belongs to the peers task.
type pressureExchange struct {
	// own is the pressure of this node.
	own        *latest.Value[overload.Pressure]
	dispatcher mailbox.Mailbox[dispatcherMessage]
	// schedule is that of the notices of this node, relaySchedule that of its notices as a relay.
	schedule, relaySchedule overload.PressureSchedule
	// nodes is the pressure of the nodes of this data centre, dataCentres that of the other ones.
	nodes, dataCentres *overload.PressureSums
}

func newPressureExchange(d *dispatcher) *pressureExchange {
	return &pressureExchange{
		own: d.ownPressure, dispatcher: d.messages, nodes: overload.NewPressureSums(), dataCentres: overload.NewPressureSums(),
	}
}

// register installs the handlers. It must be called before the hub runs.
func (e *pressureExchange) register(p *peers) {
	peer.HandleNotice(p.hub, kindPressureReport, func(_ context.Context, _ string, m pressureReport) { p.messages.TrySend(m) })
	peer.HandleNotice(p.hub, kindPressureSum, func(_ context.Context, _ string, m pressureSum) { p.messages.TrySend(m) })
	peer.HandleNotice(p.hub, kindOthersPressure, func(_ context.Context, _ string, m othersPressure) { p.messages.TrySend(m) })
}

// nextDue returns the earlier of due and the time of the next notice.
func (e *pressureExchange) nextDue(p *peers, now, due time.Time) time.Time {
	if at, ok := e.schedule.Due(); ok && at.Before(due) {
		due = at
	}
	if at, ok := e.relaySchedule.Due(); ok && at.Before(due) && !p.duty.IsIdle(now) {
		due = at
	}
	return due
}

// sendDue sends the notices that are due.
func (e *pressureExchange) sendDue(p *peers, now time.Time) {
	if at, ok := e.schedule.Due(); ok && !now.Before(at) {
		if notice, needed := e.schedule.Next(now, e.own.Load()); needed {
			report := pressureReport{Node: p.self.ID, Pressure: notice}
			for _, m := range p.topology.localRelays {
				peer.Notify(p.hub, m.Address, kindPressureReport, report)
			}
			if p.topology.rank >= 0 {
				report.apply(p)
			}
		}
	}
	if at, ok := e.relaySchedule.Due(); ok && !now.Before(at) && !p.duty.IsIdle(now) {
		e.relay(p, now)
	}
}

// relay sends the pressure of this data centre to the relays of the other ones, and to each node that this relay serves the pressure
// of the other nodes.
func (e *pressureExchange) relay(p *peers, now time.Time) {
	e.relaySchedule.SetReceivers(len(p.topology.localNodes) + len(p.topology.remoteRelays))
	local := e.nodes.Total(now)
	total := local.Add(e.dataCentres.Total(now))
	notice, needed := e.relaySchedule.Next(now, total)
	if !needed {
		return
	}
	// The notice has the usage only if it is due.
	withUsage := notice.Usage != nil
	others := func(node string) overload.Pressure {
		o := total.Without(e.nodes.Of(now, node)).Limited()
		if !withUsage {
			o.Usage = nil
		}
		return o
	}
	for _, m := range p.topology.localNodes {
		if p.duty.Serves(now, m.ID) {
			peer.Notify(p.hub, m.Address, kindOthersPressure, othersPressure{Rank: p.topology.rank, Pressure: others(m.ID)})
		}
	}
	if !p.duty.ServesAll(now) {
		return
	}
	sum := pressureSum{DataCentre: p.self.DataCentre, Pressure: local.Limited()}
	if !withUsage {
		sum.Pressure.Usage = nil
	}
	for _, m := range p.topology.remoteRelays {
		peer.Notify(p.hub, m.Address, kindPressureSum, sum)
	}
	e.dispatcher.TrySend(othersPressureMessage{pressure: others(p.self.ID)})
}
