package main

import (
	"github.com/spf13/cobra"
)

// newCreateCommand returns the command that creates an object. The command fails if the object exists.
func newCreateCommand(a *app, kind *objectKind) *cobra.Command {
	var (
		flags changeFlags
		spec  specFlags
	)
	cmd := &cobra.Command{
		Use: "create NAME", Short: "Creates one of the " + kind.plural, Args: cobra.ExactArgs(1),
		RunE: wrapErrors(true, func(cmd *cobra.Command, args []string) error {
			flags.prepare()
			d, err := spec.readDocument(a, kind, args[0])
			if err != nil {
				return err
			}
			o, err := documentToObject(d)
			if err != nil {
				return err
			}
			result, err := a.put(cmd.Context(), kind, o, flags.expectedRevision, flags.changeInfo(1, 1))
			if err != nil {
				return err
			}
			return a.reportChanges(cmd, &flags, []changeResult{result})
		}),
	}
	flags.addFlags(cmd)
	spec.addFlags(cmd)
	return cmd
}
