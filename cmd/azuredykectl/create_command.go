package main

import (
	"github.com/spf13/cobra"
)

// newCreateCommand returns the command that creates an object, which must not exist.
func newCreateCommand(a *app, kind *objectKind) *cobra.Command {
	var (
		flags changeFlags
		spec  specFlags
	)
	cmd := &cobra.Command{
		Use: "create NAME", Short: "Creates one of the " + kind.title, Args: cobra.ExactArgs(1),
		RunE: action(true, func(cmd *cobra.Command, args []string) error {
			flags.prepare()
			d, err := spec.read(a, kind, args[0])
			if err != nil {
				return err
			}
			o, err := documentToObject(d)
			if err != nil {
				return err
			}
			result, err := a.put(cmd.Context(), kind, o, flags.expected, flags.info(1, 1))
			if err != nil {
				return err
			}
			return a.finish(cmd, &flags, []changeResult{result})
		}),
	}
	flags.addFlags(cmd)
	spec.addFlags(cmd)
	return cmd
}
