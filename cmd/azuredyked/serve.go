package main

import (
	"context"

	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/service/node"
)

// newServeCommand returns the command that runs a node.
func newServeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Runs a node until SIGTERM, then stops gracefully",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd, path) },
	}
	addSettingsFlag(cmd, &path)
	return cmd
}

func serve(cmd *cobra.Command, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := logging.New(s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	tlsConfig, err := platformTLS(log, s)
	if err != nil {
		return err
	}
	kv := openKV(context.WithoutCancel(cmd.Context()), s, tlsConfig)
	n, err := node.New(log, s, kv, openHostList(s.Platform.HostList, tlsConfig))
	if err != nil {
		return err
	}
	return n.Run(cmd.Context())
}
