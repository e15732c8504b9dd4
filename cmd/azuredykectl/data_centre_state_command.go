package main

import (
	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// newDataCentreStateCommand returns the command that takes a data centre out of service or returns it to service.
func newDataCentreStateCommand(a *app, kind *objectKind, verb string, state operatorv1.DataCentreState) *cobra.Command {
	var flags changeFlags
	short := "Takes a data centre out of service, so that it receives no new requests"
	if state == operatorv1.DataCentreState_DATA_CENTRE_STATE_IN {
		short = "Returns a data centre to service; its endpoints start cold"
	}
	cmd := &cobra.Command{
		Use: verb + " NAME", Short: short, Args: cobra.ExactArgs(1), ValidArgsFunction: completeNames(a, kind),
		RunE: wrapErrors(true, func(cmd *cobra.Command, args []string) error {
			flags.prepare()
			info := flags.changeInfo(1, 1)
			resp, err := sendChange(cmd.Context(), a, operatorv1connect.OperatorServiceClient.SetDataCentreState,
				&operatorv1.SetDataCentreStateRequest{
					Name: args[0], State: state, ExpectedRevision: flags.expectedRevision, Change: info,
				}, info.GetOperationId())
			if err != nil {
				return err
			}
			return a.reportChanges(cmd, &flags, []changeResult{{
				Kind: kind.fieldName, Name: args[0], Action: verb, Revision: resp.GetRevision(),
				OperationID: info.GetOperationId(), Warnings: resp.GetWarnings(),
			}})
		}),
	}
	flags.addFlags(cmd)
	return cmd
}
