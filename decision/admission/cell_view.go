package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/placement"
	"azuredyke.dev/azuredyke/decision/queue"
)

// View returns the state of the cell.
func (c *Cell) View() View {
	v := View{Cell: c.id, Fence: c.fence, Queued: map[string]int{}, Counts: c.counts}
	c.queue.Each(func(i *queue.Item[WaitingRequest]) { v.Queued[i.Workspace]++ })
	for _, e := range c.endpoints {
		v.Endpoints = append(v.Endpoints, EndpointView{
			Endpoint: e.Endpoint, State: e.state, Limit: e.limit, InFlight: e.inFlight(), Inherited: e.inherited, Load: e.load,
		})
	}
	return v
}

// summary returns the load of the cell for routers.
func (c *Cell) summary(now time.Time) message.CellSummary {
	s := message.CellSummary{Queued: c.queue.Len()}
	if now.Before(c.activeFrom) || c.dataCentreOut || c.fenceStale {
		return s
	}
	open := 0
	for _, e := range c.endpoints {
		if !e.takesWork() {
			continue
		}
		open++
		s.Load += c.utilisation(e)
		if e.admits(now, c.confirmed) && e.aloneGrants == 0 && e != c.placer.reservation.endpoint {
			s.Free += max(1, e.limit-e.inFlight())
		}
	}
	if open > 0 {
		s.Load /= float64(open)
	}
	return s
}

// utilisation returns the used share of an endpoint's limit or memory, whichever is higher, from 0 to 1.
func (c *Cell) utilisation(e *endpoint) float64 {
	load := float64(e.inFlight()) / float64(max(1, e.limit))
	if c.params.Policy != placement.LeastOutstanding && c.params.Policy != placement.RoundRobin && e.candidate.Capacity > 0 {
		var nothing placement.Forecast
		load = max(load, (e.candidate.UntrackedMemory+e.candidate.Memory.PeakWith(&nothing))/e.candidate.Capacity)
	}
	return min(1, load)
}
