package operator

import (
	"context"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// FleetReader reads the state of the nodes, cells and endpoints that this node can reach.
type FleetReader interface {
	Nodes(ctx context.Context) ([]*operatorv1.Node, error)
	Endpoints(ctx context.Context, service string) ([]*operatorv1.Endpoint, error)
	Cells(ctx context.Context) ([]*operatorv1.Cell, error)
}
