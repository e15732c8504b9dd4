package main

import (
	"context"
	"fmt"
	"time"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

const (
	// inForcePollInterval is the interval between two checks of the nodes.
	inForcePollInterval = 250 * time.Millisecond
	// stateAlive is the state of a node that is alive, as reported by the operator API.
	stateAlive = "alive"
)

// waitInForce waits until a revision is in force on every node that is alive. Failed checks are retried until the
// timeout, because the change itself was accepted. The first check ignores the timeout, so that at least one check always
// completes.
func (a *app) waitInForce(ctx context.Context, revision int64, timeout time.Duration) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	progress, done := a.checkInForce(ctx, revision)
	fmt.Fprintln(a.errOut, progress)
	for !done {
		select {
		case <-timeoutCtx.Done():
			return errNotInForce.New("revision %d was accepted; %s after %s", revision, progress, timeout)
		case <-time.After(inForcePollInterval):
		}
		var next string
		next, done = a.checkInForce(timeoutCtx, revision)
		if timeoutCtx.Err() == nil && next != progress {
			progress = next
			fmt.Fprintln(a.errOut, progress)
		}
	}
	return nil
}

// checkInForce returns a progress line and whether the revision is in force on all nodes that are alive.
func (a *app) checkInForce(ctx context.Context, revision int64) (string, bool) {
	resp, err := call(ctx, a, operatorv1connect.OperatorServiceClient.ListNodes, &operatorv1.ListNodesRequest{})
	if err != nil {
		return fmt.Sprintf("waiting for revision %d: the nodes cannot be listed", revision), false
	}
	alive, inForce := 0, 0
	for _, n := range resp.GetNodes() {
		if n.GetState() != stateAlive {
			continue
		}
		alive++
		if n.GetConfigRevision() >= revision {
			inForce++
		}
	}
	return fmt.Sprintf("waiting for revision %d: in force on %d of %d nodes", revision, inForce, alive), alive > 0 && inForce == alive
}
