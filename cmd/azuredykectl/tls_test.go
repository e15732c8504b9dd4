package main

import (
	"bytes"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a server certificate that is not verified, and against connection flags and environment variables that are
// ignored.
func TestTLSTokenFileAndEnvironment(t *testing.T) {
	token := ""
	next := newStubHandler(stub{})
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token = r.Header.Get("Authorization")
		next.ServeHTTP(w, r)
	}))
	defer server.Close()
	dir := t.TempDir()
	ca, tokenFile := filepath.Join(dir, "ca.pem"), filepath.Join(dir, "token")
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	assert.NilError(t, os.WriteFile(ca, block, 0o600))
	assert.NilError(t, os.WriteFile(tokenFile, []byte("from-file\n"), 0o600))
	t.Setenv(serverVariable, server.URL)
	t.Setenv(tokenVariable, "from-environment")
	ctl := func(args ...string) (int, string) {
		var out, errOut bytes.Buffer
		code := run(t.Context(), append([]string{"nodes"}, args...), strings.NewReader(""), &out, &errOut)
		return code, errOut.String()
	}
	code, errOut := ctl()
	assert.Assert(t, code != exitOK, "a certificate from an unknown authority was accepted")
	assert.Assert(t, !strings.Contains(errOut, "from-environment"))
	var out bytes.Buffer
	code = run(t.Context(), []string{"datacentre", "out", "west", "--reason", "r"}, strings.NewReader(""), &out, &out)
	assert.Equal(t, code, exitUnavailable, "the outcome of a change that was never sent is not unknown")
	code, errOut = ctl("--ca", ca)
	assert.Equal(t, code, exitOK, errOut)
	assert.Equal(t, token, "Bearer from-environment")
	code, errOut = ctl("--ca", ca, "--token-file", tokenFile)
	assert.Equal(t, code, exitOK, errOut)
	assert.Equal(t, token, "Bearer from-file")
	code, _ = ctl("--cert", ca)
	assert.Equal(t, code, exitUsage)
	code, _ = ctl("--ca", tokenFile)
	assert.Equal(t, code, exitFailed)
}
