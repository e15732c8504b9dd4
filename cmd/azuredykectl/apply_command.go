package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// newApplyCommand returns the command that creates or replaces the objects of a file; with a kind, only objects of it.
func newApplyCommand(a *app, kind *objectKind) *cobra.Command {
	var (
		flags changeFlags
		file  string
	)
	cmd := &cobra.Command{
		Use: "apply", Short: "Creates or replaces the objects of a YAML file", Args: cobra.NoArgs,
		Long: `Creates or replaces the objects of a YAML file, in the order of its documents. Each document has a kind, a name and a
spec in the field names of the API, and may have a revision, which is then the expected one. The whole file is checked
before anything is sent. Objects that are as the file says are left alone. The first change that fails ends the command;
the changes before it stay.

  kind: data_centre
  name: howrah
  spec: {region: bengal, state: in}
  ---
  kind: model
  name: notes
  spec: {version: "1"}`,
		RunE: action(true, func(cmd *cobra.Command, _ []string) error {
			flags.prepare()
			items, err := a.readItems(file, kind)
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("expected-revision") {
				if len(items) != 1 {
					return errUsage.New("--expected-revision needs a file of one document; give revision in the documents")
				}
				items[0].expected = &flags.expected
			}
			results := []changeResult{}
			for i, item := range items {
				result, err := a.apply(cmd.Context(), item, flags.info(i+1, len(items)))
				if err != nil {
					fmt.Fprintf(a.errOut, "document %d of %d failed; %d were applied\n", i+1, len(items), i)
					_ = a.finish(cmd, &changeFlags{}, results)
					return err
				}
				results = append(results, result)
			}
			return a.finish(cmd, &flags, results)
		}),
	}
	flags.addFlags(cmd)
	cmd.Flags().StringVarP(&file, "file", "f", "", "YAML file; - reads the standard input (required)")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

// readItems reads and checks a whole file.
func (a *app) readItems(file string, only *objectKind) ([]applyItem, error) {
	data, err := a.readInput(file)
	if err != nil {
		return nil, err
	}
	return parseItems(data, only)
}

// apply makes one object as the file says.
func (a *app) apply(ctx context.Context, item applyItem, info *operatorv1.ChangeInfo) (changeResult, error) {
	expected := int64(0)
	if item.expected != nil {
		expected = *item.expected
	} else {
		current, err := a.find(ctx, item.kind, item.object.GetName())
		if err != nil {
			return changeResult{}, &commandError{err: err}
		}
		if current != nil && sameSpec(current, item.object) {
			return changeResult{
				Kind: item.kind.field, Name: item.object.GetName(), Action: "unchanged", Revision: current.GetRevision(),
			}, nil
		}
		expected = current.GetRevision()
	}
	return a.put(ctx, item.kind, item.object, expected, info)
}
