package router

import (
	"context"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/service/dispatcher"
)

// cell is a cell that this node owns. An error of place says that no grant is outstanding.
type cell interface {
	Place(ctx context.Context, r message.PlaceRequest) (message.PlaceReply, error)
	Report(ctx context.Context, r message.GrantReport) error
}

// cells returns the cells that this node owns, and a channel that is closed when they change.
type cells func() (find func(name string) (cell, bool), changed <-chan struct{})

// ownCells adapts the cells of the dispatcher.
func ownCells(current *latest.Value[map[string]*dispatcher.Cell]) cells {
	return func() (func(string) (cell, bool), <-chan struct{}) {
		byName, changed := current.Watch()
		return func(name string) (cell, bool) {
			c, ok := byName[name]
			return c, ok
		}, changed
	}
}
