package main

import (
	"context"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// newKindCommand returns the command with all subcommands for one kind of object.
func newKindCommand(a *app, kind *objectKind) *cobra.Command {
	cmd := &cobra.Command{
		Use: kind.command, Aliases: kind.aliases, Short: "Reads and changes " + kind.plural,
		Long: "Reads and changes " + kind.plural + ". Fields of the spec: " + strings.Join(specFields(kind), ", ") + ".",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errUsage.New("%s needs a subcommand", kind.command) },
	}
	cmd.AddCommand(newCreateCommand(a, kind), newShowCommand(a, kind), newListCommand(a, kind),
		newEditCommand(a, kind), newDeleteCommand(a, kind), newApplyCommand(a, kind))
	switch kind.proto {
	case operatorv1.Kind_KIND_DATA_CENTRE:
		cmd.AddCommand(
			newDataCentreStateCommand(a, kind, "out", operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT),
			newDataCentreStateCommand(a, kind, "in", operatorv1.DataCentreState_DATA_CENTRE_STATE_IN))
	case operatorv1.Kind_KIND_WORKSPACE:
		cmd.AddCommand(newWorkspaceKeyCommand(a))
	}
	return cmd
}

// completeNames returns a shell completion of the first argument with the names of all objects of a kind.
func completeNames(a *app, kind *objectKind) cobra.CompletionFunc {
	return func(cmd *cobra.Command, args []string, _ string) ([]cobra.Completion, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		resp, err := a.list(cmd.Context(), kind)
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		var names []cobra.Completion
		for _, o := range resp.GetObjects() {
			names = append(names, o.GetName())
		}
		return names, cobra.ShellCompDirectiveNoFileComp
	}
}

func (a *app) list(ctx context.Context, kind *objectKind) (*operatorv1.ListObjectsResponse, error) {
	return call(ctx, a, operatorv1connect.OperatorServiceClient.ListObjects, &operatorv1.ListObjectsRequest{Kind: kind.proto})
}

// get returns an object at its newest revision, or a not-found error.
func (a *app) get(ctx context.Context, kind *objectKind, name string) (*operatorv1.Object, error) {
	resp, err := call(ctx, a, operatorv1connect.OperatorServiceClient.GetObject,
		&operatorv1.GetObjectRequest{Kind: kind.proto, Name: name})
	return resp.GetObject(), err
}

// find returns an object at its newest revision, or nil if it does not exist.
func (a *app) find(ctx context.Context, kind *objectKind, name string) (*operatorv1.Object, error) {
	o, err := a.get(ctx, kind, name)
	if connect.CodeOf(err) == connect.CodeNotFound {
		return nil, nil
	}
	return o, err
}
