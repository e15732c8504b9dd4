package main

import (
	"github.com/spf13/cobra"
)

// newShowCommand returns the command that prints one object.
func newShowCommand(a *app, kind *objectKind) *cobra.Command {
	return &cobra.Command{
		Use: "show NAME", Short: "Shows one of the " + kind.plural, Args: cobra.ExactArgs(1),
		ValidArgsFunction: completeNames(a, kind),
		RunE: wrapErrors(false, func(cmd *cobra.Command, args []string) error {
			o, err := a.get(cmd.Context(), kind, args[0])
			if err != nil {
				return err
			}
			d := objectToDocument(o)
			return a.print(d, func() table {
				t := table{header: []string{"FIELD", "VALUE"}, rows: [][]string{
					{"name", d.Name}, {"revision", formatValue(*d.Revision)},
				}}
				for _, field := range specFields(kind) {
					t.rows = append(t.rows, []string{field, formatValue(d.Spec[field])})
				}
				return t
			})
		}),
	}
}
