package main

import (
	"maps"

	"github.com/spf13/cobra"
)

// newEditCommand returns the command that changes some fields of an object.
func newEditCommand(a *app, kind *objectKind) *cobra.Command {
	var (
		flags changeFlags
		spec  specFlags
	)
	cmd := &cobra.Command{
		Use: "edit NAME", Short: "Changes fields of one of the " + kind.title, Args: cobra.ExactArgs(1),
		Long:              "Changes the fields that --file or --set give and leaves the others as they are. A revision in the document is the expected one.",
		ValidArgsFunction: completeNames(a, kind),
		RunE: action(true, func(cmd *cobra.Command, args []string) error {
			flags.prepare()
			given, err := spec.read(a, kind, args[0])
			if err != nil {
				return err
			}
			current, err := a.get(cmd.Context(), kind, args[0])
			if err != nil {
				return &commandError{err: err}
			}
			merged := objectToDocument(current)
			maps.Copy(merged.Spec, given.Spec)
			o, err := documentToObject(*merged)
			if err != nil {
				return err
			}
			expected := current.GetRevision()
			if given.Revision != nil {
				expected = *given.Revision
			}
			if cmd.Flags().Changed("expected-revision") {
				expected = flags.expected
			}
			result, err := a.put(cmd.Context(), kind, o, expected, flags.info(1, 1))
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
