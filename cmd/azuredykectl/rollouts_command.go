package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/service/rollout"
)

const (
	// rolloutsTimeout bounds the call to a node.
	rolloutsTimeout = 5 * time.Second
	// maxRolloutsBytes bounds the answer of a node.
	maxRolloutsBytes = 8 << 20
)

// newRolloutsCommand returns the command that shows the roll-outs as a node of the users' platform knows them.
func newRolloutsCommand(a *app) *cobra.Command {
	node := ""
	cmd := &cobra.Command{
		Use:   "rollouts",
		Short: "Shows the roll-outs of versions as a node of the users' platform knows them",
		Long: `rollouts shows the phase, the reason, the share and the counts of each roll-out as one node knows them. A relay knows the counts
of all nodes, any other node only its own.`,
		Args: cobra.NoArgs,
		RunE: wrapErrors(false, func(cmd *cobra.Command, _ []string) error {
			overviews, err := readRollouts(cmd.Context(), node)
			if err != nil {
				return err
			}
			return a.print(overviews, func() table { return rolloutsTable(overviews) })
		}),
	}
	cmd.Flags().StringVar(&node, "node", "", "host and port of the node's metrics listener")
	_ = cmd.MarkFlagRequired("node")
	return cmd
}

func readRollouts(ctx context.Context, node string) ([]rollout.Overview, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/rollouts", nil)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errs.New("the node answered with status %d; roll-outs may be off there", response.StatusCode)
	}
	overviews := []rollout.Overview{}
	return overviews, errs.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxRolloutsBytes)).Decode(&overviews))
}

func rolloutsTable(overviews []rollout.Overview) table {
	t := table{header: []string{
		"SERVICE", "TARGET", "PHASE", "AGE", "DURATION", "SHARE", "OLD SENT/FAILED", "TARGET SENT/FAILED", "UNCONFIRMED", "DECIDER", "REASON",
	}}
	for _, o := range overviews {
		counts := o.Fleet
		if counts == nil {
			counts = o.Counts
		}
		phase := o.Phase
		if o.Stopped {
			phase += " (stopped)"
		}
		t.rows = append(t.rows, []string{
			o.Service, o.Target, phase, formatMillis(o.AgeMillis), formatMillis(o.DurationMillis),
			strconv.FormatFloat(o.TargetShare, 'f', 3, 64), sentAndFailed(counts, "old"), sentAndFailed(counts, "target"),
			strconv.Itoa(o.Unconfirmed), o.Decider, o.Reason,
		})
	}
	return t
}

func formatMillis(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

// sentAndFailed returns the requests that were sent to a group and the failures among their answers.
func sentAndFailed(counts []rollout.OverviewCounts, group string) string {
	sent, failed := int64(0), int64(0)
	for _, c := range counts {
		if c.Group == group {
			sent += c.Sends
			failed += c.Failures
		}
	}
	return fmt.Sprintf("%d/%d", sent, failed)
}
