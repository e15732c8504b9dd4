package main

import (
	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// newDataCentreStateCommand returns the command that takes a data centre out or brings it back.
func newDataCentreStateCommand(a *app, kind *objectKind, verb string, state operatorv1.DataCentreState) *cobra.Command {
	var flags changeFlags
	short := "Takes a data centre out, so that it receives no new work"
	if state == operatorv1.DataCentreState_DATA_CENTRE_STATE_IN {
		short = "Brings a data centre back; its endpoints start cold"
	}
	cmd := &cobra.Command{
		Use: verb + " NAME", Short: short, Args: cobra.ExactArgs(1), ValidArgsFunction: completeNames(a, kind),
		RunE: action(true, func(cmd *cobra.Command, args []string) error {
			flags.prepare()
			info := flags.info(1, 1)
			resp, err := change(cmd.Context(), a, operatorv1connect.OperatorServiceClient.SetDataCentreState,
				&operatorv1.SetDataCentreStateRequest{
					Name: args[0], State: state, ExpectedRevision: flags.expected, Change: info,
				}, info.GetOperationId())
			if err != nil {
				return err
			}
			return a.finish(cmd, &flags, []changeResult{{
				Kind: kind.field, Name: args[0], Action: verb, Revision: resp.GetRevision(),
				OperationID: info.GetOperationId(), Warnings: resp.GetWarnings(),
			}})
		}),
	}
	flags.addFlags(cmd)
	return cmd
}
