package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// newApplyCommand returns the command that creates or replaces the objects in a file. With a non-nil kind, the file may
// hold objects of that kind only.
func newApplyCommand(a *app, kind *objectKind) *cobra.Command {
	var (
		flags changeFlags
		file  string
	)
	cmd := &cobra.Command{
		Use: "apply", Short: "Creates or replaces the objects in a YAML file", Args: cobra.NoArgs,
		Long: `Creates or replaces the objects in a YAML file, in the order of its documents. Each document has a kind, a name and a
spec with the field names of the API. It may have a revision, which becomes the expected revision of the change. The whole
file is validated before the first request is sent. Objects that already match the file are not changed. The command
stops at the first change that fails; earlier changes are not rolled back.

  kind: data_centre
  name: howrah
  spec: {region: bengal, state: in}
  ---
  kind: model
  name: notes
  spec: {version: "1"}`,
		RunE: wrapErrors(true, func(cmd *cobra.Command, _ []string) error {
			flags.prepare()
			items, err := a.readItems(file, kind)
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("expected-revision") {
				if len(items) != 1 {
					return errUsage.New("--expected-revision needs a file with exactly one document; set revision in the documents instead")
				}
				items[0].expectedRevision = &flags.expectedRevision
			}
			results := []changeResult{}
			for i, item := range items {
				result, err := a.apply(cmd.Context(), item, flags.changeInfo(i+1, len(items)))
				if err != nil {
					fmt.Fprintf(a.errOut, "document %d of %d failed; %d were applied\n", i+1, len(items), i)
					_ = a.reportChanges(cmd, &changeFlags{}, results)
					return err
				}
				results = append(results, result)
			}
			return a.reportChanges(cmd, &flags, results)
		}),
	}
	flags.addFlags(cmd)
	cmd.Flags().StringVarP(&file, "file", "f", "", "YAML file, or - for standard input (required)")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

// readItems reads a file and validates all its documents.
func (a *app) readItems(file string, allowed *objectKind) ([]applyItem, error) {
	data, err := a.readInput(file)
	if err != nil {
		return nil, err
	}
	return parseItems(data, allowed)
}

// apply creates or replaces one object. An object that already matches the item is reported as unchanged, unless the item
// has an expected revision.
func (a *app) apply(ctx context.Context, item applyItem, info *operatorv1.ChangeInfo) (changeResult, error) {
	expectedRevision := int64(0)
	if item.expectedRevision != nil {
		expectedRevision = *item.expectedRevision
	} else {
		current, err := a.find(ctx, item.kind, item.object.GetName())
		if err != nil {
			return changeResult{}, &commandError{err: err}
		}
		if current != nil && equalExceptRevision(current, item.object) {
			return changeResult{
				Kind: item.kind.fieldName, Name: item.object.GetName(), Action: "unchanged", Revision: current.GetRevision(),
			}, nil
		}
		expectedRevision = current.GetRevision()
	}
	return a.put(ctx, item.kind, item.object, expectedRevision, info)
}
