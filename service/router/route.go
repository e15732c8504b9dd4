package router

import (
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/decision/ownership"
	"azuredyke.dev/azuredyke/decision/routing"
)

// route leads to a cell: either to a local cell or to the node that owns the cell. A route without either has no known
// owner.
type route struct {
	candidate routing.Candidate
	local     localCell
	owner     message.Holding
}

func (r route) reachable() bool { return r.local != nil || r.owner.Address != "" }

// routes returns a route to each cell of the service in the data centres where the request may run.
func (r *Router) routes(s *config.Snapshot, table *membership.Table, find func(string) (localCell, bool),
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
			rt := route{candidate: routing.Candidate{Cell: name, Distance: distance}}
			if local, ok := find(name); ok {
				rt.local = local
			} else if owner, ok := table.Owner(name); ok && owner.Node != table.Self().ID && r.options.Hub != nil {
				rt.owner = owner
				m, _ := table.Member(owner.Node)
				rt.candidate.Suspect = m.State == membership.StateSuspect
			}
			out = append(out, rt)
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
