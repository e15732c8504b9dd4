package main

import (
	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/service/development"
)

// newDevCommand returns the command that runs a development site in one process: a node, an in-memory platform and fake
// endpoints.
func newDevCommand() *cobra.Command {
	listen := settings.Default().Listen
	level := "warn"
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Runs a node with an in-memory platform and a few fake endpoints",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runDev(cmd, listen, level) },
	}
	flags := cmd.Flags()
	flags.StringVar(&listen.Callers, "callers", listen.Callers, "listen address for callers")
	flags.StringVar(&listen.Operators, "operators", listen.Operators, "listen address for the operator API")
	flags.StringVar(&listen.Metrics, "metrics", listen.Metrics, "listen address for metrics and health checks")
	flags.StringVar(&listen.Peers, "peers", listen.Peers, "listen address for other nodes")
	flags.StringVar(&level, "log-level", level, "log level: debug, info, warn or error")
	return cmd
}

func runDev(cmd *cobra.Command, listen settings.Listen, level string) error {
	log, err := logging.New(level, "console")
	if err != nil {
		return err
	}
	site, err := development.New(log, listen)
	if err != nil {
		return err
	}
	addresses := site.Addresses()
	cmd.Printf(`callers    http://%s  (workspace key %q, model %q, plain service %q)
operators  http://%s  (token %q)
metrics    http://%s/metrics

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":%q,"stream":true,"messages":[{"role":"user","content":"hello"}]}'
`, addresses.Callers, development.WorkspaceKey, development.Model, development.PlainService,
		addresses.Operators, development.OperatorToken, addresses.Metrics, addresses.Callers, development.WorkspaceKey, development.Model)
	return site.Run(cmd.Context())
}
