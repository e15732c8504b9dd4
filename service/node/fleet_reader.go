package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/decision/ownership"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// fleetReader provides the state of this node and its view of the other nodes to the operator API.
type fleetReader struct {
	node *Node
}

// Nodes implements operator.FleetReader.
func (f *fleetReader) Nodes(context.Context) ([]*operatorv1.Node, error) {
	var out []*operatorv1.Node
	table := f.node.members.Current().Load()
	for _, m := range table.Present() {
		n := &operatorv1.Node{
			Id: m.ID, Address: m.Address, DataCentre: m.DataCentre, State: m.State.String(), ConfigRevision: m.ConfigRevision,
		}
		if m.ID == table.Self().ID {
			n.ConfigRevision = f.node.configManager.Current().Load().Revision()
		}
		for _, h := range m.Holdings {
			n.Holdings = append(n.Holdings, h.Resource)
		}
		out = append(out, n)
	}
	return out, nil
}

// Endpoints implements operator.FleetReader.
func (f *fleetReader) Endpoints(ctx context.Context, service string) ([]*operatorv1.Endpoint, error) {
	var out []*operatorv1.Endpoint
	for _, v := range f.node.dispatcher.Views(ctx) {
		for _, e := range v.Endpoints {
			if service != "" && e.Endpoint.Service != service {
				continue
			}
			out = append(out, &operatorv1.Endpoint{
				Id: e.Endpoint.ID, Address: e.Endpoint.Address, Service: e.Endpoint.Service,
				DataCentre: e.Endpoint.DataCentre, State: e.State.String(), Limit: int32(e.Limit),
				InFlight: int32(e.InFlight), MemoryBlocksUsed: e.Load.BlocksUsed,
				MemoryBlocksTotal: e.Load.BlocksTotal, Preemptions: e.Load.PreemptionsTotal, Cell: v.Cell,
			})
		}
	}
	slices.SortFunc(out, func(a, b *operatorv1.Endpoint) int { return strings.Compare(a.GetId(), b.GetId()) })
	return out, nil
}

// Cells implements operator.FleetReader.
func (f *fleetReader) Cells(ctx context.Context) ([]*operatorv1.Cell, error) {
	var out []*operatorv1.Cell
	for _, v := range f.node.dispatcher.Views(ctx) {
		c := &operatorv1.Cell{
			Id: v.Cell, Owner: f.node.settings.Node.ID, Fence: v.Fence, Endpoints: int32(len(v.Endpoints)),
			State:             f.cellState(v.Cell),
			QueuedByWorkspace: map[string]int32{},
		}
		for workspace, n := range v.Queued {
			c.Queued += int32(n)
			c.QueuedByWorkspace[workspace] = int32(n)
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *operatorv1.Cell) int { return strings.Compare(a.GetId(), b.GetId()) })
	return out, nil
}

// States of a cell in the operator API.
const (
	cellConfirmed   = "confirmed"
	cellUnconfirmed = "unconfirmed"
	cellReleasing   = "releasing"
	cellOut         = "out"
)

// cellState returns the state of a cell that this node owns.
func (f *fleetReader) cellState(cell string) string {
	h := f.node.ownership.Current().Load()
	snapshot := f.node.configManager.Current().Load()
	switch dc := snapshot.DataCentre(ownership.DataCentreOfCell(cell)); {
	case h.ByResource[cell].Releasing:
		return cellReleasing
	case !h.Confirmed(time.Now()):
		return cellUnconfirmed
	case dc == nil || dc.Out:
		return cellOut
	default:
		return cellConfirmed
	}
}
