package configuration

import (
	"context"

	"azuredyke.dev/azuredyke/decision/config"
)

// Reader reads the configuration from the key-value service. Watcher implements it.
type Reader interface {
	Read(ctx context.Context) (*config.Snapshot, error)
}
