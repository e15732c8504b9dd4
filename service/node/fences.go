package node

import (
	"context"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/service/ownership"
)

// fences tells the ownership keeper that an endpoint refused the fencing token of a cell.
type fences struct {
	log    *zap.Logger
	keeper *ownership.Keeper
}

// StaleFence implements dispatcher.FenceObserver. Some node owns the cell with a higher token than the refused one.
func (f fences) StaleFence(resource string, fence uint64) {
	f.log.Warn("an endpoint refused the fencing token of a cell", zap.String("cell", resource), zap.Uint64("fence", fence))
	go func() { _ = f.keeper.HigherFence(context.Background(), resource, fence+1) }()
}
