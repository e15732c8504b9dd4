package main

import (
	"fmt"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// newQueueCommand returns the command that shows the waiting requests.
func newQueueCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "queue", Short: "Shows the waiting requests of each workspace in each cell, longest queue first", Args: cobra.NoArgs,
		RunE: action(false, func(cmd *cobra.Command, _ []string) error {
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
