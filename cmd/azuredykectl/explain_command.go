package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/common/explanation"
)

// explainParameters maps the flags of the explain command to the parameters of the node's answer.
var explainParameters = map[string]string{
	"host": "host", "path": "path", "key-workspace": "workspace", "prompt-tokens": "prompt_tokens", "max-tokens": "max_tokens",
	"length-hint": "length_hint", "priority": "priority",
}

// newExplainCommand returns the command that shows where a request would go.
func newExplainCommand(a *app) *cobra.Command {
	var node string
	cmd := &cobra.Command{
		Use: "explain", Short: "Shows where a request would go now and why, without sending it", Args: cobra.NoArgs,
		Long: `Asks a node of azuredyked edge, on its metrics listener, where it would send a request now, and shows why each endpoint of
the service may or may not be used. The request is not sent and nothing changes.`,
		RunE: wrapErrors(false, func(cmd *cobra.Command, _ []string) error {
			query := url.Values{}
			for name, parameter := range explainParameters {
				if f := cmd.Flags().Lookup(name); f.Changed {
					query.Set(parameter, f.Value.String())
				}
			}
			answer, err := a.explain(cmd.Context(), node, query)
			if err != nil {
				return err
			}
			if a.outputFormat == outputTable {
				return printExplanation(a.out, answer)
			}
			return a.print(answer, nil)
		}),
	}
	flags := cmd.Flags()
	flags.StringVar(&node, "node", "", "address of the metrics listener of the node")
	flags.String("host", "", "host name of the request")
	flags.String("path", "", "path of the request")
	flags.String("key-workspace", "", "name of the workspace whose key the request has")
	flags.Uint32("prompt-tokens", 0, "size of the prompt; 0 for plain calls")
	flags.Uint32("max-tokens", 0, "limit of the answer")
	flags.Uint32("length-hint", 0, "estimate of the caller of the length of the answer")
	flags.Uint32("priority", 0, "priority, 0 first; else that of the workspace or the route")
	for _, name := range []string{"node", "host", "path"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

// explain asks a node for an explanation. Its errors have the codes of the operator API, from which the exit code follows.
func (a *app) explain(ctx context.Context, node string, query url.Values) (*explanation.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, a.connection.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: node, Path: "/explain", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errUsage.New("--node: %w", err)
	}
	client := http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return nil, connect.NewError(connect.CodeDeadlineExceeded, fmt.Errorf("node %s did not answer within %v", node, a.connection.timeout))
		}
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("node %s: %w", node, err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("node %s: %w", node, err))
	}
	if resp.StatusCode != http.StatusOK {
		return nil, connect.NewError(explainCode(resp.StatusCode), fmt.Errorf("node %s: %s", node, strings.TrimSpace(string(body))))
	}
	answer := &explanation.Answer{}
	if err := json.Unmarshal(body, answer); err != nil {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("node %s: %w", node, err))
	}
	return answer, nil
}

// explainCode returns the code of the operator API for the status of an answer to GET /explain.
func explainCode(status int) connect.Code {
	switch status {
	case http.StatusBadRequest:
		return connect.CodeInvalidArgument
	case http.StatusNotFound:
		return connect.CodeNotFound
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return connect.CodeUnavailable
	default:
		return connect.CodeUnknown
	}
}
