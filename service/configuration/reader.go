package configuration

import (
	"context"

	"azuredyke.dev/azuredyke/decision/config"
)

// Reader reads the configuration of the key-value service once; Watcher implements it.
type Reader interface {
	Read(ctx context.Context) (*config.Snapshot, error)
}
