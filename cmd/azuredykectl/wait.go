package main

import (
	"context"
	"fmt"
	"time"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

const (
	// waitInterval is the time between two looks at the nodes.
	waitInterval = 250 * time.Millisecond
	// stateAlive is the state of a node that takes part.
	stateAlive = "alive"
)

// waitInForce waits until every node that is alive has a revision in force. Failed looks are tried again until the
// timeout, since the change itself was accepted. There is always one whole look, however short the timeout is.
func (a *app) waitInForce(ctx context.Context, revision int64, timeout time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	progress, done := a.lookInForce(ctx, revision)
	fmt.Fprintln(a.errOut, progress)
	for !done {
		select {
		case <-limited.Done():
			return errNotInForce.New("revision %d was accepted; %s after %s", revision, progress, timeout)
		case <-time.After(waitInterval):
		}
		var next string
		next, done = a.lookInForce(limited, revision)
		if limited.Err() == nil && next != progress {
			progress = next
			fmt.Fprintln(a.errOut, progress)
		}
	}
	return nil
}

// lookInForce returns a progress line and whether all nodes that are alive have the revision.
func (a *app) lookInForce(ctx context.Context, revision int64) (string, bool) {
	resp, err := call(ctx, a, operatorv1connect.OperatorServiceClient.ListNodes, &operatorv1.ListNodesRequest{})
	if err != nil {
		return fmt.Sprintf("waiting for revision %d: the nodes cannot be listed", revision), false
	}
	alive, ready := 0, 0
	for _, n := range resp.GetNodes() {
		if n.GetState() != stateAlive {
			continue
		}
		alive++
		if n.GetConfigRevision() >= revision {
			ready++
		}
	}
	return fmt.Sprintf("waiting for revision %d: in force on %d of %d nodes", revision, ready, alive), alive > 0 && ready == alive
}
