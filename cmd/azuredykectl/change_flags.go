package main

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// defaultWaitTimeout is much longer than a change takes to reach every node.
const defaultWaitTimeout = 30 * time.Second

// changeFlags holds the flags that all commands with changes have in common.
type changeFlags struct {
	reason, operationID string
	force               bool
	expectedRevision    int64
	wait                bool
	waitTimeout         time.Duration
}

func (f *changeFlags) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&f.reason, "reason", "", "reason for the change, recorded in the audit trail (required)")
	flags.StringVar(&f.operationID, "operation-id", "", "id that makes the change idempotent: it is applied once per id (default generated)")
	flags.BoolVar(&f.force, "force", false, "apply the change in spite of validation warnings")
	flags.Int64Var(&f.expectedRevision, "expected-revision", 0,
		"revision of the object that the change is based on (default the newest one at the server)")
	flags.BoolVar(&f.wait, "wait", false, "wait until the change is in force on every node that is alive")
	flags.DurationVar(&f.waitTimeout, "wait-timeout", defaultWaitTimeout, "maximum time to wait with --wait")
	_ = cmd.MarkFlagRequired("reason")
}

// prepare generates an operation id if the flag is not set.
func (f *changeFlags) prepare() {
	if f.operationID == "" {
		f.operationID = "ctl-" + rand.Text()
	}
}

// changeInfo returns the metadata of change number out of total. The operation ids of a command with several changes end
// in the number of the change.
func (f *changeFlags) changeInfo(number, total int) *operatorv1.ChangeInfo {
	id := f.operationID
	if total > 1 {
		id = fmt.Sprintf("%s-%d", id, number)
	}
	return &operatorv1.ChangeInfo{OperationId: id, Reason: f.reason, Force: f.force}
}
