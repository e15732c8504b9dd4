package main

import (
	"fmt"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// newQueueCommand returns the command that lists the queued requests by cell and workspace.
func newQueueCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "queue", Short: "Shows the number of queued requests of each workspace in each cell, longest queue first", Args: cobra.NoArgs,
		RunE: wrapErrors(false, func(cmd *cobra.Command, _ []string) error {
			resp, err := call(cmd.Context(), a, operatorv1connect.OperatorServiceClient.ListCells, &operatorv1.ListCellsRequest{})
			if err != nil {
				return err
			}
			lines := queueLines(resp.GetCells())
			return a.print(lines, func() table {
				t := table{header: []string{"CELL", "WORKSPACE", "QUEUED"}}
				for _, l := range lines {
					t.rows = append(t.rows, []string{l.Cell, l.Workspace, fmt.Sprint(l.Queued)})
				}
				return t
			})
		}),
	}
}
