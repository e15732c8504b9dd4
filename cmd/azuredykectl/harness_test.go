package main

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/service/development"
)

// startTimeout bounds the start of a site, with ample margin for a loaded machine.
const startTimeout = 2 * time.Minute

// harness runs command lines against the operator API of one server.
type harness struct {
	server, token string
}

// result is the exit code and the output of one command line.
type result struct {
	code        int
	out, errOut string
}

// ctl runs one command line with an empty standard input.
func (h harness) ctl(t *testing.T, args ...string) result {
	t.Helper()
	return h.ctlInput(t, "", args...)
}

// ctlInput runs one command line with the given standard input.
func (h harness) ctlInput(t *testing.T, input string, args ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	args = append([]string{"--server", h.server, "--token", h.token}, args...)
	code := run(t.Context(), args, strings.NewReader(input), &out, &errOut)
	return result{code: code, out: out.String(), errOut: errOut.String()}
}

// mustCtl runs one command line, fails the test unless the command succeeds, and returns the standard output.
func (h harness) mustCtl(t *testing.T, args ...string) string {
	t.Helper()
	r := h.ctl(t, args...)
	assert.Equal(t, r.code, exitOK, "%v: %s", args, r.errOut)
	return r.out
}

// startSite starts a development site, waits until it is ready, and stops it when the test ends.
func startSite(t *testing.T) harness {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	site, err := development.New(zap.NewNop(), settings.Listen{Callers: anyPort, Operators: anyPort, Metrics: anyPort, Peers: anyPort})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- site.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	h := harness{server: "http://" + site.Addresses().Operators, token: development.OperatorToken}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + site.Addresses().Metrics + "/readyz")
		if err != nil {
			return poll.Continue("readiness request failed: %v", err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
	return h
}
