package router

import (
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/decision/ownership"
	"azuredyke.dev/azuredyke/decision/routing"
)

// route is a way to a cell: this node's own cell, or its owner. A route without both has no known owner.
type route struct {
	candidate routing.Candidate
	own       cell
	owner     message.Holding
}

func (r route) open() bool { return r.own != nil || r.owner.Address != "" }

// routes returns the ways to the cells in the data centres where the request may run.
func (r *Router) routes(s *config.Snapshot, table *membership.Table, find func(string) (cell, bool),
	req message.PlaceRequest,
) []route {
	service := s.Service(req.Service)
	if service == nil {
		return nil
	}
	var out []route
	for _, dataCentre := range s.DataCentresFor(req.Service, req.Workspace) {
		distance := r.distance(s, dataCentre)
		for i := range service.Cells {
			name := ownership.CellName(req.Service, dataCentre, i, service.Cells)
			way := route{candidate: routing.Candidate{Cell: name, Distance: distance}}
			if own, ok := find(name); ok {
				way.own = own
			} else if owner, ok := table.Owner(name); ok && owner.Node != table.Self().ID && r.options.Hub != nil {
				way.owner = owner
				m, _ := table.Member(owner.Node)
				way.candidate.Suspect = m.State == membership.StateSuspect
			}
			out = append(out, way)
		}
	}
	return out
}

func (r *Router) distance(s *config.Snapshot, dataCentre string) routing.Distance {
	if dataCentre == r.options.DataCentre {
		return routing.SameDataCentre
	}
	if dc := s.DataCentre(dataCentre); dc != nil && dc.Region != "" && dc.Region == r.options.Region {
		return routing.SameRegion
	}
	return routing.OtherRegion
}
