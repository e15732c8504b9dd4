package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/service/edge"
)

// settingsInterval is how often the settings file is looked at, since it may change without a signal.
const settingsInterval = 5 * time.Second

// watchSettings reads the settings file again at each signal and whenever it has changed. One that cannot be used is logged,
// and the old settings stay.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, node *edge.Node, level zap.AtomicLevel) {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	seen, _ := os.ReadFile(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-tick.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && !signalled && bytes.Equal(data, seen) {
			continue
		}
		seen = data
		var s settings.Edge
		if err == nil {
			s, err = settings.ParseEdge(data)
		}
		if err == nil {
			err = level.UnmarshalText([]byte(s.Log.Level))
		}
		node.Reload(s, err)
	}
}
