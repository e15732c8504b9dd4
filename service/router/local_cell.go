package router

import (
	"context"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/service/dispatcher"
)

// localCell is a cell that this node owns. After an error of Place, no grant is outstanding.
type localCell interface {
	Place(ctx context.Context, r message.PlaceRequest) (message.PlaceReply, error)
	Report(ctx context.Context, r message.GrantReport) error
}

// localCells returns a lookup of the cells that this node owns, and a channel that is closed when these cells change.
type localCells func() (find func(name string) (localCell, bool), changed <-chan struct{})

// newLocalCells adapts the cells of the dispatcher to localCells.
func newLocalCells(current *latest.Value[map[string]*dispatcher.Cell]) localCells {
	return func() (func(string) (localCell, bool), <-chan struct{}) {
		byName, changed := current.Watch()
		return func(name string) (localCell, bool) {
			c, ok := byName[name]
			return c, ok
		}, changed
	}
}
