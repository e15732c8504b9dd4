package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const twoDocuments = `
kind: data_centre
name: south
spec: {region: local, state: in}
---
kind: service
name: tickets
spec:
  type: plain
  cold_limit: 1
  max_concurrency: 8
  cells: 1
  queue_timeout_ms: 2000
  path_rules: [{method: POST, path_prefix: /book, repeatable: false}]
`

// Guards against a kind of object that the command line cannot create, list, show, edit or delete.
func TestEveryKindCanBeManaged(t *testing.T) {
	h := startSite(t)
	specs := map[string][]string{
		"service":        {"type=plain", "cold_limit=1", "max_concurrency=2", "cells=1", "queue_timeout_ms=10"},
		"datacentre":     {"region=local", "state=in"},
		"workspace":      {"weight=2"},
		"placement-rule": {"service=notes", "data_centres=[east]"},
		"model":          {"version='1'"},
	}
	edits := map[string]string{
		"service": "cold_limit=2", "datacentre": "region=far", "workspace": "priority=3",
		"placement-rule": "data_centres=[east,west]", "model": "adapters=[a,b]",
	}
	for _, kind := range objectKinds {
		create := []string{kind.command, "create", "x1", "--reason", "test"}
		for _, s := range specs[kind.command] {
			create = append(create, "--set", s)
		}
		h.mustCtl(t, create...)
		assert.Assert(t, cmp.Contains(h.mustCtl(t, kind.command, "list"), "x1"))
		before := h.mustCtl(t, kind.command, "show", "x1", "-o", "yaml")
		h.mustCtl(t, kind.command, "edit", "x1", "--reason", "test", "--set", edits[kind.command])
		after := h.mustCtl(t, kind.command, "show", "x1", "-o", "yaml")
		assert.Assert(t, before != after)
		h.mustCtl(t, kind.command, "delete", "x1", "--reason", "test")
		assert.Equal(t, h.ctl(t, kind.command, "show", "x1").code, exitNotFound)
	}
}

// Guards against apply runs that skip documents or change objects that already match the file, against output of show that
// apply rejects, and against edit requests that ignore the revision in the document.
func TestApplySeveralDocuments(t *testing.T) {
	h := startSite(t)
	file := filepath.Join(t.TempDir(), "site.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(twoDocuments), 0o600))
	out := h.mustCtl(t, "apply", "-f", file, "--reason", "new site", "-o", "json", "--operation-id", "site-1")
	var results []changeResult
	assert.NilError(t, json.Unmarshal([]byte(out), &results))
	assert.Equal(t, len(results), 2)
	assert.Equal(t, results[1].Action, "create")
	assert.Equal(t, results[1].OperationID, "site-1-2")
	reapplied := h.mustCtl(t, "apply", "-f", file, "--reason", "new site")
	assert.Equal(t, strings.Count(reapplied, "unchanged"), 2)
	shown := h.mustCtl(t, "service", "show", "tickets", "-o", "yaml")
	r := h.ctlInput(t, shown, "service", "apply", "-f", "-", "--reason", "copy")
	assert.Equal(t, r.code, exitOK, r.errOut)
	r = h.ctlInput(t, strings.Replace(shown, "cold_limit: 1", "cold_limit: 3", 1), "service", "edit", "tickets", "-f", "-", "--reason", "more")
	assert.Equal(t, r.code, exitConflict, "the document has the revision from before the copy")
	r = h.ctlInput(t, "spec: {cold_limit: 3}", "service", "edit", "tickets", "-f", "-", "--reason", "more")
	assert.Equal(t, r.code, exitOK, r.errOut)
	edited := h.mustCtl(t, "service", "show", "tickets", "-o", "yaml")
	assert.Assert(t, strings.Contains(edited, "cold_limit: 3") && strings.Contains(edited, "path_prefix: /book"), edited)
	r = h.ctlInput(t, shown, "model", "apply", "-f", "-", "--reason", "wrong kind")
	assert.Equal(t, r.code, exitUsage)
}

// Guards against a data centre that stays in service after the out command has succeeded, and against --wait that does not
// wait or prints no progress.
func TestDataCentreOutAndInWithWait(t *testing.T) {
	h := startSite(t)
	r := h.ctl(t, "datacentre", "out", "west", "--reason", "power work", "--wait")
	assert.Equal(t, r.code, exitOK, r.errOut)
	assert.Assert(t, cmp.Contains(r.errOut, "in force on 1 of 1 nodes"))
	assert.Assert(t, cmp.Contains(h.mustCtl(t, "datacentre", "show", "west", "-o", "yaml"), "state: out"))
	h.mustCtl(t, "datacentre", "in", "west", "--reason", "power is back")
	assert.Assert(t, cmp.Contains(h.mustCtl(t, "datacentre", "show", "west", "-o", "yaml"), "state: in"))
	assert.Equal(t, h.ctl(t, "datacentre", "out", "nowhere", "--reason", "x").code, exitNotFound)
}

// Guards against conflict errors that omit the stored or the proposed object.
func TestConflictPrintsBothSides(t *testing.T) {
	h := startSite(t)
	h.mustCtl(t, "workspace", "create", "w1", "--reason", "r", "--set", "priority=1")
	h.mustCtl(t, "workspace", "edit", "w1", "--reason", "r", "--set", "priority=7")
	r := h.ctl(t, "workspace", "edit", "w1", "--reason", "r", "--set", "priority=5", "--expected-revision", "1",
		"--operation-id", "mine")
	assert.Equal(t, r.code, exitConflict)
	for _, part := range []string{"stored:", "priority: 7", "proposed:", "priority: 5", "operation id: mine"} {
		assert.Assert(t, cmp.Contains(r.errOut, part))
	}
}

// Guards against errors of different classes that return the same exit code, which scripts depend on.
func TestExitCodes(t *testing.T) {
	h := startSite(t)
	for name, c := range map[string]struct {
		args []string
		code int
	}{
		"unknown command":  {[]string{"nonsense"}, exitUsage},
		"no subcommand":    {[]string{"service"}, exitUsage},
		"unknown flag":     {[]string{"nodes", "--nonsense"}, exitUsage},
		"missing reason":   {[]string{"model", "delete", "notes"}, exitUsage},
		"wrong output":     {[]string{"nodes", "-o", "xml"}, exitUsage},
		"unknown field":    {[]string{"model", "create", "m", "--reason", "r", "--set", "nonsense=1"}, exitUsage},
		"file is missing":  {[]string{"apply", "--reason", "r", "-f", "/nonexistent.yaml"}, exitFailed},
		"not found":        {[]string{"model", "show", "none"}, exitNotFound},
		"delete not found": {[]string{"model", "delete", "none", "--reason", "r"}, exitNotFound},
		"invalid":          {[]string{"model", "create", "Upper Case", "--reason", "r", "--set", "version='1'"}, exitInvalid},
		"dangling":         {[]string{"model", "delete", "notes", "--reason", "r"}, exitInvalid},
		"already exists":   {[]string{"model", "create", "notes", "--reason", "r", "--set", "version='2'"}, exitConflict},
		"help":             {[]string{"--help"}, exitOK},
		"completion":       {[]string{"completion", "bash"}, exitOK},
	} {
		r := h.ctl(t, c.args...)
		assert.Equal(t, r.code, c.code, "%s: %s", name, r.errOut)
	}
	assert.Equal(t, harness{server: h.server, token: "wrong"}.ctl(t, "nodes").code, exitPermission)
	assert.Assert(t, cmp.Contains(h.mustCtl(t, "--help"), "8  outcome unknown"))
}

// Guards against a printed hash that does not match the printed key, and against keys that repeat.
func TestWorkspaceKeyMatchesHash(t *testing.T) {
	var k workspaceKey
	out := harness{}.mustCtl(t, "workspace", "key", "-o", "json")
	assert.NilError(t, json.Unmarshal([]byte(out), &k))
	sum := sha256.Sum256([]byte(k.Key))
	assert.Equal(t, k.Hash, hex.EncodeToString(sum[:]))
	assert.Assert(t, out != harness{}.mustCtl(t, "workspace", "key", "-o", "json"))
}

// Guards against list commands that fail in one of the output formats, and against audit filters that are ignored.
func TestViewsAndAuditFilters(t *testing.T) {
	h := startSite(t)
	for _, view := range []string{"nodes", "endpoints", "cells", "queue", "audit"} {
		for _, format := range outputFormats {
			h.mustCtl(t, view, "-o", format)
		}
	}
	h.mustCtl(t, "datacentre", "out", "west", "--reason", "power work")
	var records []map[string]any
	audit := func(args ...string) int {
		out := h.mustCtl(t, append([]string{"audit", "-o", "json"}, args...)...)
		assert.NilError(t, json.Unmarshal([]byte(out), &records))
		return len(records)
	}
	assert.Equal(t, audit("--actor", "dev"), 1)
	assert.Equal(t, records[0]["reason"], "power work")
	assert.Equal(t, audit("--kind", "data_centre", "--name", "west"), 2)
	assert.Equal(t, audit("--kind", "model"), 1)
	assert.Equal(t, audit("--limit", "1"), 1)
	assert.Equal(t, audit("--actor", "nobody"), 0)
}
