package main

import (
	"github.com/spf13/cobra"
)

// newListCommand returns the command that lists the objects of a kind.
func newListCommand(a *app, kind *objectKind) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Lists the " + kind.plural, Args: cobra.NoArgs,
		RunE: wrapErrors(false, func(cmd *cobra.Command, _ []string) error {
			resp, err := a.list(cmd.Context(), kind)
			if err != nil {
				return err
			}
			documents := make([]*document, 0, len(resp.GetObjects()))
			for _, o := range resp.GetObjects() {
				documents = append(documents, objectToDocument(o))
			}
			return a.print(documents, func() table { return objectTable(kind, documents) })
		}),
	}
}
