package main

import (
	"maps"

	"github.com/spf13/cobra"
)

// newEditCommand returns the command that changes individual fields of an object.
func newEditCommand(a *app, kind *objectKind) *cobra.Command {
	var (
		flags changeFlags
		spec  specFlags
	)
	cmd := &cobra.Command{
		Use: "edit NAME", Short: "Changes fields of one of the " + kind.plural, Args: cobra.ExactArgs(1),
		Long:              "Changes the fields given by --file or --set; all other fields keep their values. A revision in the document is the expected revision of the change.",
		ValidArgsFunction: completeNames(a, kind),
		RunE: wrapErrors(true, func(cmd *cobra.Command, args []string) error {
			flags.prepare()
			given, err := spec.readDocument(a, kind, args[0])
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
			expectedRevision := current.GetRevision()
			if given.Revision != nil {
				expectedRevision = *given.Revision
			}
			if cmd.Flags().Changed("expected-revision") {
				expectedRevision = flags.expectedRevision
			}
			result, err := a.put(cmd.Context(), kind, o, expectedRevision, flags.changeInfo(1, 1))
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
