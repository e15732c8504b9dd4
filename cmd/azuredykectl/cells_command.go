package main

import (
	"fmt"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// newCellsCommand returns the command that lists the cells.
func newCellsCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "cells", Short: "Lists the cells with their owners", Args: cobra.NoArgs,
		RunE: wrapErrors(false, func(cmd *cobra.Command, _ []string) error {
			resp, err := call(cmd.Context(), a, operatorv1connect.OperatorServiceClient.ListCells, &operatorv1.ListCellsRequest{})
			if err != nil {
				return err
			}
			return a.print(messagesToMaps(resp.GetCells()), func() table {
				t := table{header: []string{"ID", "OWNER", "FENCE", "STATE", "ENDPOINTS", "QUEUED"}}
				for _, c := range resp.GetCells() {
					t.rows = append(t.rows, []string{
						c.GetId(), c.GetOwner(), fmt.Sprint(c.GetFence()), c.GetState(), fmt.Sprint(c.GetEndpoints()),
						fmt.Sprint(c.GetQueued()),
					})
				}
				return t
			})
		}),
	}
}
