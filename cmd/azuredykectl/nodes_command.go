package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// newNodesCommand returns the command that lists the nodes.
func newNodesCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "nodes", Short: "Lists the nodes with the configuration revision in force on each", Args: cobra.NoArgs,
		RunE: wrapErrors(false, func(cmd *cobra.Command, _ []string) error {
			resp, err := call(cmd.Context(), a, operatorv1connect.OperatorServiceClient.ListNodes, &operatorv1.ListNodesRequest{})
			if err != nil {
				return err
			}
			return a.print(messagesToMaps(resp.GetNodes()), func() table {
				t := table{header: []string{"ID", "ADDRESS", "DATA CENTRE", "STATE", "REVISION", "HOLDINGS"}}
				for _, n := range resp.GetNodes() {
					t.rows = append(t.rows, []string{
						n.GetId(), n.GetAddress(), n.GetDataCentre(), n.GetState(), fmt.Sprint(n.GetConfigRevision()),
						strings.Join(n.GetHoldings(), ","),
					})
				}
				return t
			})
		}),
	}
}
