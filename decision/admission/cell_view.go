package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/queue"
)

// View returns the state of the cell.
func (c *Cell) View() View {
	v := View{Cell: c.id, Fence: c.fence, Queued: map[string]int{}, Counts: c.counts}
	c.queue.Each(func(i *queue.Item[Waiting]) { v.Queued[i.Workspace]++ })
	for _, e := range c.endpoints {
		v.Endpoints = append(v.Endpoints, EndpointView{
			Endpoint: e.Endpoint, State: e.state, Limit: e.limit, InFlight: e.inFlight(), Inherited: e.inherited, Load: e.load,
		})
	}
	return v
}

// summary tells a router how busy the cell is.
func (c *Cell) summary(now time.Time) message.CellSummary {
	s := message.CellSummary{Queued: c.queue.Len()}
	if now.Before(c.activeFrom) || c.out || c.stale {
		return s
	}
	for _, e := range c.endpoints {
		if e.admits(now, c.confirmed) && e.alone == 0 && e != c.placer.reservation.endpoint {
			s.Free += max(1, e.limit-e.inFlight())
		}
	}
	return s
}
