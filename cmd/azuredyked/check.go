package main

import (
	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/common/settings"
)

// newCheckCommand returns the command that validates a settings file.
func newCheckCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Validates a settings file and reports the line and key of every error",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.Load(path); err != nil {
				return err
			}
			cmd.Println("settings are valid")
			return nil
		},
	}
	addSettingsFlag(cmd, &path)
	return cmd
}

// addSettingsFlag adds the required --settings flag, which stores its value in path.
func addSettingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "path of the YAML settings file")
	_ = cmd.MarkFlagRequired("settings")
}
