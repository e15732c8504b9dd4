package main

import (
	"net/http"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/platform"
	"azuredyke.dev/azuredyke/platform/hostlist"
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
	kv, err := openKV(s)
	if err != nil {
		return err
	}
	n, err := node.New(log, s, kv, openHostList(s.Platform.HostList))
	if err != nil {
		return err
	}
	return n.Run(cmd.Context())
}

// openKV returns the key-value service of the settings.
func openKV(s settings.Settings) (platform.KV, error) {
	return nil, errs.New("key-value service of kind %q cannot be reached by this build", s.Platform.KeyValue.Kind)
}

// openHostList returns the host list of the settings.
func openHostList(s settings.HostListSettings) platform.HostList {
	if s.Kind == settings.HostListFile {
		return hostlist.NewFile(s.Path)
	}
	return hostlist.NewHTTP(http.DefaultClient, s.URL)
}
