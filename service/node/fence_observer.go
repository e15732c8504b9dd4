package node

import (
	"context"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/service/ownership"
)

// fenceObserver notifies the ownership manager of fencing tokens that endpoints refused.
type fenceObserver struct {
	log       *zap.Logger
	ownership *ownership.Manager
}

// FenceRefused implements dispatcher.FenceObserver. A refused token means that another owner of the cell has a higher one.
func (f fenceObserver) FenceRefused(resource string, fence uint64) {
	f.log.Warn("an endpoint refused the fencing token of a cell", zap.String("cell", resource), zap.Uint64("fence", fence))
	go func() { _ = f.ownership.ObserveFence(context.Background(), resource, fence+1) }()
}
