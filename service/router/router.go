// Package router finds the owner of a cell that can place a request.
package router

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/ownership"
	"azuredyke.dev/azuredyke/service/dispatcher"
)

// Router sends placement requests and reports of grants to the owners of cells.
type Router struct {
	log    *zap.Logger
	config *latest.Value[*config.Snapshot]
	cells  *latest.Value[map[string]*dispatcher.Cell]
}

// New returns a Router.
func New(log *zap.Logger, current *latest.Value[*config.Snapshot], cells *latest.Value[map[string]*dispatcher.Cell]) *Router {
	return &Router{log: log, config: current, cells: cells}
}

// Place asks the owner of a cell for a grant. The reply is a refusal when no cell can be asked.
func (r *Router) Place(ctx context.Context, req message.PlaceRequest) (message.PlaceReply, error) {
	candidates := r.candidates(req)
	if len(candidates) == 0 {
		return refused(verdict.ReasonNoEndpoint, "no data centre is open for this work"), nil
	}
	for {
		cells, changed := r.cells.Watch()
		for _, i := range rand.Perm(len(candidates)) {
			if cell, ok := cells[candidates[i]]; ok {
				req.Cell = candidates[i]
				return cell.Place(ctx, req)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return refused(verdict.ReasonNoOwner, "no cell of this service has an owner"), nil
		}
	}
}

// Report tells the owner of a cell what happened to a grant.
func (r *Router) Report(ctx context.Context, report message.GrantReport) error {
	if cell, ok := r.cells.Load()[report.Cell]; ok {
		return cell.Report(ctx, report)
	}
	return nil
}

// candidates returns the cells in the data centres where the request may run.
func (r *Router) candidates(req message.PlaceRequest) []string {
	snapshot := r.config.Load()
	service := snapshot.Service(req.Service)
	if service == nil {
		return nil
	}
	var names []string
	for _, dataCentre := range snapshot.DataCentresFor(req.Service, req.Workspace) {
		for i := range service.Cells {
			names = append(names, ownership.CellName(req.Service, dataCentre, i, service.Cells))
		}
	}
	return names
}

func refused(reason verdict.Reason, detail string) message.PlaceReply {
	return message.PlaceReply{Refusal: &message.Refusal{Reason: reason, Detail: detail}}
}
