package main

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// defaultWaitTimeout is well above the time in which a change reaches every node.
const defaultWaitTimeout = 30 * time.Second

// changeFlags holds the flags of every command that changes something.
type changeFlags struct {
	reason, operationID string
	force               bool
	expected            int64
	wait                bool
	waitTimeout         time.Duration
}

func (f *changeFlags) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&f.reason, "reason", "", "why the change is made, for the audit trail (required)")
	flags.StringVar(&f.operationID, "operation-id", "", "id under which the change is applied once (generated when absent)")
	flags.BoolVar(&f.force, "force", false, "accept a change that validation warns about")
	flags.Int64Var(&f.expected, "expected-revision", 0,
		"revision of the object that the change is made against (default the newest one shown by the server)")
	flags.BoolVar(&f.wait, "wait", false, "wait until the change is in force on every node that is alive")
	flags.DurationVar(&f.waitTimeout, "wait-timeout", defaultWaitTimeout, "longest time to wait with --wait")
	_ = cmd.MarkFlagRequired("reason")
}

// prepare generates the operation id when none was given.
func (f *changeFlags) prepare() {
	if f.operationID == "" {
		f.operationID = "ctl-" + rand.Text()
	}
}

// info returns the part of a change that all calls share. A command that makes several changes numbers their ids.
func (f *changeFlags) info(number, of int) *operatorv1.ChangeInfo {
	id := f.operationID
	if of > 1 {
		id = fmt.Sprintf("%s-%d", id, number)
	}
	return &operatorv1.ChangeInfo{OperationId: id, Reason: f.reason, Force: f.force}
}
