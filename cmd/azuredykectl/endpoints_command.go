package main

import (
	"fmt"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// newEndpointsCommand returns the command that lists the endpoints.
func newEndpointsCommand(a *app) *cobra.Command {
	var service string
	cmd := &cobra.Command{
		Use: "endpoints", Short: "Lists the endpoints with their state and load", Args: cobra.NoArgs,
		RunE: wrapErrors(false, func(cmd *cobra.Command, _ []string) error {
			resp, err := call(cmd.Context(), a, operatorv1connect.OperatorServiceClient.ListEndpoints,
				&operatorv1.ListEndpointsRequest{Service: service})
			if err != nil {
				return err
			}
			return a.print(messagesToMaps(resp.GetEndpoints()), func() table {
				t := table{header: []string{
					"ID", "SERVICE", "DATA CENTRE", "STATE", "IN FLIGHT", "LIMIT", "MEMORY BLOCKS", "PREEMPTIONS", "CELL",
				}}
				for _, e := range resp.GetEndpoints() {
					t.rows = append(t.rows, []string{
						e.GetId(), e.GetService(), e.GetDataCentre(), e.GetState(), fmt.Sprint(e.GetInFlight()),
						fmt.Sprint(e.GetLimit()), fmt.Sprintf("%d/%d", e.GetMemoryBlocksUsed(), e.GetMemoryBlocksTotal()),
						fmt.Sprint(e.GetPreemptions()), e.GetCell(),
					})
				}
				return t
			})
		}),
	}
	cmd.Flags().StringVar(&service, "service", "", "only endpoints of this service")
	return cmd
}
