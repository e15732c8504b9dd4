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

// printError explains a failure: both sides of a conflict, and what to do when the outcome of a change is unknown.
func printError(out io.Writer, failed *commandError) {
	message := failed.Error()
	var rpc *connect.Error
	if errors.As(failed.err, &rpc) {
		message = rpc.Message()
	}
	fmt.Fprintln(out, "azuredykectl:", oneLine(message))
	if rpc != nil {
		printConflict(out, rpc)
	}
	if failed.operationID == "" {
		return
	}
	if exitCode(failed) == exitUnknown {
		fmt.Fprintf(out, "the change may have taken effect; run it again with --operation-id %s\n", failed.operationID)
		return
	}
	fmt.Fprintln(out, "operation id:", failed.operationID)
}

// printConflict shows what is stored and what was proposed.
func printConflict(out io.Writer, rpc *connect.Error) {
	for _, detail := range rpc.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if conflict, ok := value.(*operatorv1.ConflictDetail); ok {
			printSide(out, "stored", conflict.GetStored())
			printSide(out, "proposed", conflict.GetProposed())
		}
	}
}

func printSide(out io.Writer, side string, o *operatorv1.Object) {
	if o == nil {
		fmt.Fprintf(out, "%s: nothing\n", side)
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
	fmt.Fprintf(out, "%s:\n  %s\n", side, strings.ReplaceAll(strings.TrimSpace(string(text)), "\n", "\n  "))
}
