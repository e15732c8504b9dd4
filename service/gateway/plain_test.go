package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const reservePath = "/services/orders/reserve"

// Guards against a call that may not be repeated being sent twice because its answer was lost.
func TestUnrepeatableCallIsSentOnce(t *testing.T) {
	first, second := newScriptedEndpoint(t), newScriptedEndpoint(t)
	first.plain = func(http.ResponseWriter, *http.Request) { breakConnection() }
	g := newTestGateway(t, first, second)
	for _, headers := range [][]string{nil, {"Idempotency-Key", "k"}} {
		before := first.runs.Load()
		got := g.do(t, http.MethodPost, reservePath, "{}", headers...)
		assert.Equal(t, got.verdict, "may-have-run")
		assert.Equal(t, got.header.Get("X-Should-Retry"), "false")
		assert.Equal(t, first.runs.Load(), before+1)
		assert.Equal(t, second.runs.Load(), int64(0))
		// Starts a new gateway, because the quarantine of the first one would refuse a second request with the same body.
		g = newTestGateway(t, first, second)
	}
}

// Guards against a repeatable call failing because one endpoint failed, although another endpoint could serve it.
func TestRepeatableCallIsSentAgainElsewhere(t *testing.T) {
	first, second := newScriptedEndpoint(t), newScriptedEndpoint(t)
	first.plain = func(http.ResponseWriter, *http.Request) { breakConnection() }
	g := newTestGateway(t, first, second)
	got := g.do(t, http.MethodGet, "/services/orders/stock?item=4", "")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, second.runs.Load(), int64(1))
}

// Guards against a second run when the caller sends the same key again, against an answer that differs from the first, and
// against a key that is accepted for another request.
func TestSameKeyGetsTheStoredAnswer(t *testing.T) {
	e := newScriptedEndpoint(t)
	g := newTestGateway(t, e)
	first := g.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	again := g.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	assert.Equal(t, first.body, "run 1")
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.header.Get("Azuredyke-Stored"), "true")
	assert.Equal(t, e.runs.Load(), int64(1))
	other := g.do(t, http.MethodPost, reservePath, `{"other":1}`, "Idempotency-Key", "k")
	assert.Equal(t, other.status, http.StatusUnprocessableEntity)
	assert.Equal(t, e.runs.Load(), int64(1))
}

// Guards against a request being sent although its claim could not be recorded and its verdict is not-run, and against the
// refusal blocking its key.
func TestUnrecordedRequestIsNotSent(t *testing.T) {
	e := newScriptedEndpoint(t)
	g := newTestGateway(t, e)
	g.claimer.unavailable.Store(true)
	got := g.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	assert.Equal(t, got.verdict, "not-run")
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, e.runs.Load(), int64(0))
	g.claimer.unavailable.Store(false)
	got = g.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	assert.Equal(t, got.status, http.StatusOK)
}

// Guards against a claim that stays in place although its request was never sent, so that a retry with the key is refused.
func TestClaimOfUnsentRequestIsReleased(t *testing.T) {
	e := newScriptedEndpoint(t)
	g := newTestGateway(t, e)
	addresses := g.placer.addresses
	g.placer.addresses = nil
	got := g.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	assert.Equal(t, got.verdict, "not-run")
	g.placer.addresses = addresses
	got = g.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	assert.Equal(t, got.body, "run 1")
}

// Guards against errors for invalid input that do not name the field, and against input that crashes the gateway.
func TestBadInputIsRefusedWithTheFieldsName(t *testing.T) {
	g := newTestGateway(t, newScriptedEndpoint(t))
	big := fmt.Sprintf(`{"model":"notes","prompt":"%0*d"}`, 70<<10, 0)
	for name, tc := range map[string]struct {
		path, body, key string
		status          int
		want            string
	}{
		"unknown model":  {chatPath, `{"model":"x","messages":[]}`, "key", 404, `"param":"model"`},
		"no model":       {chatPath, `{"messages":[]}`, "key", 400, `"param":"model"`},
		"wrong key":      {chatPath, nonStreamBody, "other", 401, `"param":"Authorization"`},
		"too large":      {chatPath, big, "key", 413, `"param":"body"`},
		"not JSON":       {chatPath, `{"model":`, "key", 400, "not a JSON object"},
		"wrong type":     {chatPath, `{"model":"notes","stream":"yes","messages":[]}`, "key", 400, `"param":"stream"`},
		"no messages":    {chatPath, `{"model":"notes"}`, "key", 400, `"param":"messages"`},
		"unknown path":   {"/v1/other", "{}", "key", 404, `"param":"path"`},
		"model service":  {"/services/notes/x", "{}", "key", 404, `"param":"service"`},
		"wrong method":   {"/v1/models", "{}", "key", 405, `"param":"method"`},
		"no such plain":  {"/services/none/x", "{}", "key", 404, `"param":"service"`},
		"negative limit": {chatPath, `{"model":"notes","prompt":"a","max_tokens":-1}`, "key", 400, `"param":"max_tokens"`},
	} {
		t.Run(name, func(t *testing.T) {
			got := g.do(t, http.MethodPost, tc.path, tc.body, "Authorization", "Bearer "+tc.key)
			assert.Equal(t, got.status, tc.status)
			assert.Equal(t, got.verdict, "not-run")
			assert.Assert(t, cmp.Contains(got.body, tc.want))
		})
	}
}

// Guards against a second run of a request whose claim has expired, when the key carries its creation time.
func TestKeyOlderThanTheRetentionIsRefused(t *testing.T) {
	e := newScriptedEndpoint(t)
	g := newTestGateway(t, e)
	// A UUIDv7 of 2020-01-01.
	got := g.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "016f5e66-e800-7000-8000-000000000000")
	assert.Equal(t, got.verdict, "not-run")
	assert.Assert(t, cmp.Contains(got.body, "idempotency_key_expired"))
	assert.Equal(t, e.runs.Load(), int64(0))
}
