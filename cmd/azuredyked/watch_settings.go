package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/platform/boot"
	"azuredyke.dev/azuredyke/service/edge"
)

// settingsPollInterval is the interval at which the settings file is read, because it can change without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings reloads the settings file after each reload signal and whenever its contents change, until ctx is
// cancelled. A file that cannot be read or is invalid is logged, and the previous settings stay in force.
func watchSettings(ctx context.Context, reloadSignals <-chan os.Signal, path string, node *edge.Node, level zap.AtomicLevel) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	previous, _ := os.ReadFile(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && !signalled && bytes.Equal(data, previous) {
			continue
		}
		previous = data
		var s settings.Edge
		if err == nil {
			s, err = settings.ParseEdge(data)
			boot.AddFeatures(&s)
		}
		if err == nil {
			err = level.UnmarshalText([]byte(s.Log.Level))
		}
		node.Reload(s, err)
	}
}
