package development

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"azuredyke.dev/azuredyke/common/settings"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// startSite runs a site until the test ends.
func startSite(t *testing.T) *Site {
	t.Helper()
	const any = "127.0.0.1:0"
	site, err := New(zaptest.NewLogger(t), settings.Listen{Callers: any, Operators: any, Metrics: any, Peers: any})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- site.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + site.Addresses().Metrics + "/readyz")
		if err != nil {
			return poll.Continue("not answering: %v", err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	})
	return site
}

// Guards against a truncated or incomplete answer to a streaming request, end to end from the caller to an endpoint.
func TestStreamReachesCallerWhole(t *testing.T) {
	site := startSite(t)
	body := `{"model":"notes","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+site.Addresses().Callers+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	parts, done := 0, false
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		switch line := scanner.Text(); {
		case line == "data: [DONE]":
			done = true
		case strings.HasPrefix(line, "data: "):
			parts++
		}
	}
	assert.NilError(t, scanner.Err())
	assert.Assert(t, done)
	assert.Equal(t, parts, answerTokens)
}

// Guards against an operator's change that is accepted but not applied or not recorded in the audit trail, and against a
// change without a token.
func TestOperatorTakesDataCentreOut(t *testing.T) {
	site := startSite(t)
	client := operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+site.Addresses().Operators)
	req := connect.NewRequest(&operatorv1.SetDataCentreStateRequest{
		Name: "west", State: operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT,
		Change: &operatorv1.ChangeInfo{OperationId: "op-1", Reason: "power work"},
	})
	_, err := client.SetDataCentreState(t.Context(), req)
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	req.Header().Set("Authorization", "Bearer "+OperatorToken)
	changed, err := client.SetDataCentreState(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, changed.Msg.GetObject().GetDataCentre().GetState(), operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT)
	audit := connect.NewRequest(&operatorv1.ListAuditRequest{Name: "west"})
	audit.Header().Set("Authorization", "Bearer "+OperatorToken)
	records, err := client.ListAudit(t.Context(), audit)
	assert.NilError(t, err)
	assert.Equal(t, records.Msg.GetRecords()[0].GetReason(), "power work")
}
