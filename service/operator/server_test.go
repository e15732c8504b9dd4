package operator

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

func putModel(name, operationID string) *operatorv1.PutObjectRequest {
	return &operatorv1.PutObjectRequest{
		Object: &operatorv1.Object{Name: name, Spec: &operatorv1.Object_Model{Model: &operatorv1.ModelSpec{Version: "1"}}},
		Change: &operatorv1.ChangeInfo{OperationId: operationID, Reason: "test"},
	}
}

// Guards against a change by a viewer, a call accepted without a known token, and a refusal because of the role that is
// missing from the audit trail.
func TestRolesAreChecked(t *testing.T) {
	f := startFixture(t)
	_, err := f.PutObject(t.Context(), withToken("", putModel("m", "a")))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	_, err = f.ListNodes(t.Context(), withToken("wrong", &operatorv1.ListNodesRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	_, err = f.PutObject(t.Context(), withToken("view", putModel("m", "b")))
	assert.Equal(t, connect.CodeOf(err), connect.CodePermissionDenied)
	_, err = f.DeleteObject(t.Context(), withToken("view", &operatorv1.DeleteObjectRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodePermissionDenied)
	_, err = f.SetDataCentreState(t.Context(), withToken("view", &operatorv1.SetDataCentreStateRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodePermissionDenied)
	_, err = f.PutObject(t.Context(), withToken("op", putModel("m", "c")))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		audit, err := f.ListAudit(t.Context(), withToken("view", &operatorv1.ListAuditRequest{Actor: "vic"}))
		if err != nil {
			return poll.Error(err)
		}
		if n := len(audit.Msg.GetRecords()); n < 3 {
			return poll.Continue("%d of 3 refusals are recorded", n)
		}
		for _, record := range audit.Msg.GetRecords() {
			if record.GetOutcome() != "permission" {
				return poll.Error(unexpectedOutcome(record.GetOutcome()))
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// unexpectedOutcome is the error for an audit record with an unexpected outcome.
type unexpectedOutcome string

func (e unexpectedOutcome) Error() string { return "unexpected outcome " + string(e) }

// Guards against errors of changes that a client cannot distinguish by their codes.
func TestChangeErrorsHaveTheirCodes(t *testing.T) {
	f := startFixture(t)
	_, err := f.PutObject(t.Context(), withToken("op", putModel("m", "a")))
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		req  *operatorv1.PutObjectRequest
		code connect.Code
	}{
		"conflict":     {putModel("m", "b"), connect.CodeAborted},
		"same again":   {putModel("m", "a"), 0},
		"reused id":    {putModel("other", "a"), connect.CodeAlreadyExists},
		"no operation": {putModel("n", ""), connect.CodeInvalidArgument},
		"long id":      {putModel("n", strings.Repeat("x", 200)), connect.CodeInvalidArgument},
		"bad name":     {putModel("No Name", "c"), connect.CodeInvalidArgument},
		"no spec":      {&operatorv1.PutObjectRequest{}, connect.CodeInvalidArgument},
		"no change":    {&operatorv1.PutObjectRequest{Object: putModel("n", "").Object}, connect.CodeInvalidArgument},
		"negative": {&operatorv1.PutObjectRequest{
			Object: putModel("n", "").Object, ExpectedRevision: -1, Change: putModel("n", "d").Change,
		}, connect.CodeInvalidArgument},
	} {
		_, err := f.PutObject(t.Context(), withToken("op", c.req))
		if c.code == 0 {
			assert.NilError(t, err, name)
			continue
		}
		assert.Equal(t, connect.CodeOf(err), c.code, "%s: %v", name, err)
	}
	_, err = f.DeleteObject(t.Context(), withToken("op", &operatorv1.DeleteObjectRequest{
		Kind: operatorv1.Kind_KIND_MODEL, Name: "none", Change: putModel("", "e").Change,
	}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeNotFound)
	_, err = f.SetDataCentreState(t.Context(), withToken("op", &operatorv1.SetDataCentreStateRequest{
		Name: "none", State: operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT, Change: putModel("", "f").Change,
	}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeNotFound)
}

// Guards against accepting a request that is too large, and against filters that are silently ignored.
func TestInputIsBounded(t *testing.T) {
	f := startFixture(t)
	large := putModel("m", "a")
	large.Change.Reason = strings.Repeat("x", 2*maxBodyBytes)
	_, err := f.PutObject(t.Context(), withToken("op", large))
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
	for name, req := range map[string]*operatorv1.ListAuditRequest{
		"unknown kind": {Kind: 99},
		"negative":     {Limit: -1},
		"long filter":  {Actor: strings.Repeat("x", maxFilterBytes+1)},
	} {
		_, err := f.ListAudit(t.Context(), withToken("view", req))
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument, name)
	}
	_, err = f.ListObjects(t.Context(), withToken("view", &operatorv1.ListObjectsRequest{Kind: 99}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
}

// Guards against a compressed body that is small on the wire and too large in memory.
func TestCompressedBodyIsBounded(t *testing.T) {
	f := startFixture(t)
	client := operatorv1connect.NewOperatorServiceClient(f.server.Client(), f.server.URL, connect.WithSendGzip())
	large := putModel("m", "a")
	large.Change.Reason = strings.Repeat("x", 2*maxMessageBytes)
	_, err := client.PutObject(t.Context(), withToken("op", large))
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
}

// Guards against a conflict whose detail lacks the stored or the proposed object.
func TestConflictDetailShowsBothSides(t *testing.T) {
	f := startFixture(t)
	_, err := f.PutObject(t.Context(), withToken("op", putModel("m", "a")))
	assert.NilError(t, err)
	_, err = f.PutObject(t.Context(), withToken("op", putModel("m", "b")))
	var connectErr *connect.Error
	assert.Assert(t, asConnectError(err, &connectErr))
	value, err := connectErr.Details()[0].Value()
	assert.NilError(t, err)
	detail := value.(*operatorv1.ConflictDetail)
	assert.Equal(t, detail.GetStored().GetRevision(), int64(1))
	assert.Equal(t, detail.GetProposed().GetModel().GetVersion(), "1")
}

// Guards against a change through an HTTP method other than POST.
func TestGetIsNotAChange(t *testing.T) {
	f := startFixture(t)
	resp, err := http.Get(f.server.URL + operatorv1connect.OperatorServicePutObjectProcedure)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusMethodNotAllowed)
}
