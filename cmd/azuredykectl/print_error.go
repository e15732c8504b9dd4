package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"connectrpc.com/connect"
	"go.yaml.in/yaml/v3"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// printError prints a failure with its operation id. It prints both objects of a conflict, and how to retry a change whose
// outcome is unknown.
func printError(out io.Writer, commandErr *commandError) {
	message := commandErr.Error()
	var rpc *connect.Error
	if errors.As(commandErr.err, &rpc) {
		message = rpc.Message()
	}
	fmt.Fprintln(out, "azuredykectl:", replaceControlCharacters(message))
	if rpc != nil {
		printConflict(out, rpc)
	}
	if commandErr.operationID == "" {
		return
	}
	if exitCode(commandErr) == exitOutcomeUnknown {
		fmt.Fprintf(out, "the change may have taken effect; run it again with --operation-id %s\n", commandErr.operationID)
		return
	}
	fmt.Fprintln(out, "operation id:", commandErr.operationID)
}

// printConflict prints the stored and the proposed object from the details of a conflict error.
func printConflict(out io.Writer, rpc *connect.Error) {
	for _, detail := range rpc.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if conflict, ok := value.(*operatorv1.ConflictDetail); ok {
			printConflictObject(out, "stored", conflict.GetStored())
			printConflictObject(out, "proposed", conflict.GetProposed())
		}
	}
}

func printConflictObject(out io.Writer, label string, o *operatorv1.Object) {
	if o == nil {
		fmt.Fprintf(out, "%s: nothing\n", label)
		return
	}
	d := objectToDocument(o)
	if d.Revision != nil && *d.Revision == 0 {
		d.Revision = nil
	}
	text, err := yaml.Marshal(d)
	if err != nil {
		return
	}
	fmt.Fprintf(out, "%s:\n  %s\n", label, strings.ReplaceAll(strings.TrimSpace(string(text)), "\n", "\n  "))
}
