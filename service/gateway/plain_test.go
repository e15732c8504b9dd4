package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const reservePath = "/services/orders/reserve"

// Guards against a reservation that is posted twice because its answer was lost.
func TestUnrepeatableCallIsSentOnce(t *testing.T) {
	first, second := newScriptedEndpoint(t), newScriptedEndpoint(t)
	first.plain = func(http.ResponseWriter, *http.Request) { breakConnection() }
	s := newSite(t, first, second)
	for _, headers := range [][]string{nil, {"Idempotency-Key", "k"}} {
		before := first.runs.Load()
		got := s.do(t, http.MethodPost, reservePath, "{}", headers...)
		assert.Equal(t, got.verdict, "may-have-run")
		assert.Equal(t, got.header.Get("X-Should-Retry"), "false")
		assert.Equal(t, first.runs.Load(), before+1)
		assert.Equal(t, second.runs.Load(), int64(0))
		// The quarantine would refuse a second body that is the same; the claim must refuse it even without.
		s = newSite(t, first, second)
	}
}

// Guards against a lookup failing because one endpoint broke, when it may safely be asked elsewhere.
func TestRepeatableCallIsSentAgainElsewhere(t *testing.T) {
	first, second := newScriptedEndpoint(t), newScriptedEndpoint(t)
	first.plain = func(http.ResponseWriter, *http.Request) { breakConnection() }
	s := newSite(t, first, second)
	got := s.do(t, http.MethodGet, "/services/orders/stock?item=4", "")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, second.runs.Load(), int64(1))
}

// Guards against a second run when the caller sends the same key again, and against an answer that differs from the first.
func TestSameKeyGetsTheStoredAnswer(t *testing.T) {
	e := newScriptedEndpoint(t)
	s := newSite(t, e)
	first := s.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	again := s.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	assert.Equal(t, first.body, "run 1")
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.header.Get("Azuredyke-Stored"), "true")
	assert.Equal(t, e.runs.Load(), int64(1))
	other := s.do(t, http.MethodPost, reservePath, `{"other":1}`, "Idempotency-Key", "k")
	assert.Equal(t, other.status, http.StatusUnprocessableEntity)
	assert.Equal(t, e.runs.Load(), int64(1))
}

// Guards against an unrecorded reservation being sent, and against "not run" being said of one that was.
func TestUnrecordedClaimIsNotSent(t *testing.T) {
	e := newScriptedEndpoint(t)
	s := newSite(t, e)
	s.claimer.down.Store(true)
	got := s.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	assert.Equal(t, got.verdict, "not-run")
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, e.runs.Load(), int64(0))
	s.claimer.down.Store(false)
	got = s.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	assert.Equal(t, got.status, http.StatusOK)
}

// Guards against a claim that keeps a caller out although its request was never sent.
func TestClaimOfUnsentRequestIsReleased(t *testing.T) {
	e := newScriptedEndpoint(t)
	s := newSite(t, e)
	addresses := s.placer.addresses
	s.placer.addresses = nil
	got := s.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	assert.Equal(t, got.verdict, "not-run")
	s.placer.addresses = addresses
	got = s.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "k")
	assert.Equal(t, got.body, "run 1")
}

// Guards against unclear errors for bad input, and against input that crashes the gateway.
func TestBadInputIsRefusedWithTheFieldsName(t *testing.T) {
	s := newSite(t, newScriptedEndpoint(t))
	big := fmt.Sprintf(`{"model":"notes","prompt":"%0*d"}`, 70<<10, 0)
	for name, tc := range map[string]struct {
		path, body, key string
		status          int
		want            string
	}{
		"unknown model":  {chatPath, `{"model":"x","messages":[]}`, "key", 404, `"param":"model"`},
		"no model":       {chatPath, `{"messages":[]}`, "key", 400, `"param":"model"`},
		"wrong key":      {chatPath, wholeBody, "other", 401, `"param":"Authorization"`},
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
			got := s.do(t, http.MethodPost, tc.path, tc.body, "Authorization", "Bearer "+tc.key)
			assert.Equal(t, got.status, tc.status)
			assert.Equal(t, got.verdict, "not-run")
			assert.Assert(t, cmp.Contains(got.body, tc.want))
		})
	}
}

// Guards against a second run of a request whose claim has been forgotten, where the key tells its age.
func TestKeyOlderThanTheRetentionIsRefused(t *testing.T) {
	e := newScriptedEndpoint(t)
	s := newSite(t, e)
	// A UUIDv7 of 2020-01-01.
	got := s.do(t, http.MethodPost, reservePath, "{}", "Idempotency-Key", "016f5e66-e800-7000-8000-000000000000")
	assert.Equal(t, got.verdict, "not-run")
	assert.Assert(t, cmp.Contains(got.body, "idempotency_key_expired"))
	assert.Equal(t, e.runs.Load(), int64(0))
}
