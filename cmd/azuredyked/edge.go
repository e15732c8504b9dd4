package main

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/metrics"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/common/signals"
	"azuredyke.dev/azuredyke/platform/boot"
	"azuredyke.dev/azuredyke/platform/front"
	"azuredyke.dev/azuredyke/platform/records"
	"azuredyke.dev/azuredyke/platform/store"
	"azuredyke.dev/azuredyke/platform/workers"
	"azuredyke.dev/azuredyke/service/edge"
)

// newEdgeCommand returns the command that runs a node on the users' platform or, with --check, validates its settings
// file.
func newEdgeCommand() *cobra.Command {
	path, check := os.Getenv(boot.SettingsVariable), false
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Runs a node on the users' platform until SIGTERM, then stops gracefully",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if check {
				return checkEdge(cmd, path)
			}
			return runEdge(cmd, path)
		},
	}
	cmd.Flags().BoolVar(&check, "check", false, "validate the settings file, report the line and key of every error, and exit")
	cmd.Flags().StringVar(&path, "settings", path, "path of the YAML settings file (default $"+boot.SettingsVariable+", if set)")
	return cmd
}

func checkEdge(cmd *cobra.Command, path string) error {
	if _, err := settings.LoadEdge(path); err != nil {
		return err
	}
	cmd.Println("settings are valid")
	return nil
}

func runEdge(cmd *cobra.Command, path string) error {
	s, err := settings.LoadEdge(path)
	if err != nil {
		return err
	}
	boot.AddFeatures(&s)
	writer := logging.NewAsyncWriter()
	log, level, err := logging.NewAsync(s.Log.Level, s.Log.Format, writer)
	if err != nil {
		return err
	}
	writerCtx, stopWriter := context.WithCancel(context.Background())
	writerDone := make(chan struct{})
	go func() {
		writer.Run(writerCtx, os.Stdout)
		close(writerDone)
	}()
	defer func() {
		stopWriter()
		<-writerDone
	}()
	registry := metrics.NewRegistry()
	defer func() { _ = registry.Close() }()
	client := workers.New()
	node := edge.New(log, s, edge.Dependencies{
		Store:      store.New(s.Store.Address, registry.Scope.SubScope("store")),
		Translate:  records.DecodeChange,
		Sender:     client,
		Mover:      client,
		Reporter:   client,
		Liveness:   client,
		NewStream:  func(r io.Reader) exchange.Stream { return workers.NewEventStream(r) },
		NewHandler: func(server *edge.Server, budget int64) http.Handler { return front.New(server, budget) },
		Metrics:    registry,

		EncodeRolloutStatus: records.EncodeRolloutStatus,
	})
	go watchSettings(cmd.Context(), signals.Reload(), path, node, level)
	return node.Run(cmd.Context())
}
