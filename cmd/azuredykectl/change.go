package main

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// sendChange sends one change. A failure is a commandError with the operation id, so that the change can be retried with
// the same id.
func sendChange[Req any](
	ctx context.Context, a *app, method clientMethod[Req, operatorv1.ChangeResponse], req *Req, operationID string,
) (*operatorv1.ChangeResponse, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := call(ctx, a, method, req)
	if err != nil {
		return nil, &commandError{err: err, isChange: true, unsent: !connected.Load(), operationID: operationID}
	}
	return resp, nil
}

// changeResult is the printed result of one change.
type changeResult struct {
	Kind        string   `json:"kind" yaml:"kind"`
	Name        string   `json:"name" yaml:"name"`
	Action      string   `json:"action" yaml:"action"`
	Revision    int64    `json:"revision" yaml:"revision"`
	OperationID string   `json:"operation_id" yaml:"operation_id"`
	Warnings    []string `json:"warnings,omitempty" yaml:"warnings,omitempty"`
}

// reportChanges prints the results and warnings. With --wait, it then waits until the newest revision is in force.
func (a *app) reportChanges(cmd *cobra.Command, flags *changeFlags, results []changeResult) error {
	t := table{header: []string{"KIND", "NAME", "ACTION", "REVISION", "OPERATION"}}
	newest := int64(0)
	for _, r := range results {
		t.rows = append(t.rows, []string{r.Kind, r.Name, r.Action, strconv.FormatInt(r.Revision, 10), r.OperationID})
		newest = max(newest, r.Revision)
		for _, w := range r.Warnings {
			fmt.Fprintln(a.errOut, "warning:", replaceControlCharacters(w))
		}
	}
	if err := a.print(results, func() table { return t }); err != nil {
		return err
	}
	if !flags.wait || newest == 0 {
		return nil
	}
	return a.waitInForce(cmd.Context(), newest, flags.waitTimeout)
}
