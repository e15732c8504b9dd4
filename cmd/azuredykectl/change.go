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

// change sends one change. The operation id is in the error, so that the change can be run again with it.
func change[Req any](ctx context.Context, a *app, m method[Req, operatorv1.ChangeResponse], req *Req, operationID string) (*operatorv1.ChangeResponse, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := call(ctx, a, m, req)
	if err != nil {
		return nil, &commandError{err: err, changes: true, unsent: !connected.Load(), operationID: operationID}
	}
	return resp, nil
}

// changeResult is what a command shows of one change.
type changeResult struct {
	Kind        string   `json:"kind" yaml:"kind"`
	Name        string   `json:"name" yaml:"name"`
	Action      string   `json:"action" yaml:"action"`
	Revision    int64    `json:"revision" yaml:"revision"`
	OperationID string   `json:"operation_id" yaml:"operation_id"`
	Warnings    []string `json:"warnings,omitempty" yaml:"warnings,omitempty"`
}

// finish shows the results and waits for the newest revision when asked to.
func (a *app) finish(cmd *cobra.Command, flags *changeFlags, results []changeResult) error {
	t := table{header: []string{"KIND", "NAME", "ACTION", "REVISION", "OPERATION"}}
	newest := int64(0)
	for _, r := range results {
		t.rows = append(t.rows, []string{r.Kind, r.Name, r.Action, strconv.FormatInt(r.Revision, 10), r.OperationID})
		newest = max(newest, r.Revision)
		for _, w := range r.Warnings {
			fmt.Fprintln(a.errOut, "warning:", oneLine(w))
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
