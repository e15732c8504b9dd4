package harness

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/common/keyhash"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// Names in the configuration of a site.
const (
	// Model is the model, and the service that offers it.
	Model = "notes"
	// PlainService is the plain service. Its POST requests may not be repeated.
	PlainService = "orders"
	// WorkspaceKey is the key of the only workspace.
	WorkspaceKey = "test-workspace"

	operatorToken = "test-operator"
	region        = "local"
	queueTimeout  = 20_000
)

// Operator returns a client of the operator API of a node.
func (s *Site) Operator(n *Node) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+n.Settings.Listen.Operators)
}

// Authorized returns a request with the operator's token.
func Authorized[T any](message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+operatorToken)
	return r
}

// Endpoints returns the endpoints of the cells that a node can reach.
func (s *Site) Endpoints(n *Node) []*operatorv1.Endpoint {
	s.t.Helper()
	ctx, cancel := s.timeout()
	defer cancel()
	response, err := s.Operator(n).ListEndpoints(ctx, Authorized(&operatorv1.ListEndpointsRequest{}))
	s.ok(err, "list endpoints")
	return response.Msg.GetEndpoints()
}

// seed writes the configuration through the operator API of the first node.
func (s *Site) seed() {
	s.t.Helper()
	o := s.options
	objects := []*operatorv1.Object{
		{Name: Model, Spec: &operatorv1.Object_Model{Model: &operatorv1.ModelSpec{Version: "1"}}},
	}
	for _, dc := range o.DataCentres {
		objects = append(objects, &operatorv1.Object{Name: dc, Spec: &operatorv1.Object_DataCentre{
			DataCentre: &operatorv1.DataCentreSpec{Region: region, State: operatorv1.DataCentreState_DATA_CENTRE_STATE_IN},
		}})
	}
	for name, service := range map[string]*operatorv1.ServiceSpec{
		Model:        {Type: operatorv1.ServiceType_SERVICE_TYPE_MODEL, Models: []string{Model}},
		PlainService: {Type: operatorv1.ServiceType_SERVICE_TYPE_PLAIN},
	} {
		service.ColdLimit, service.MaxConcurrency = int32(o.ColdLimit), int32(o.MaxConcurrency)
		service.Cells, service.QueueTimeoutMs, service.HonoursFencing = 1, queueTimeout, o.HonoursFencing
		objects = append(objects, &operatorv1.Object{Name: name, Spec: &operatorv1.Object_Service{Service: service}})
	}
	objects = append(objects, &operatorv1.Object{Name: "test", Spec: &operatorv1.Object_Workspace{
		Workspace: &operatorv1.WorkspaceSpec{KeyHashes: []string{keyhash.Of(WorkspaceKey)}, Weight: 1},
	}})
	ctx, cancel := s.timeout()
	defer cancel()
	for _, object := range objects {
		s.ok(s.put(ctx, object), object.GetName())
	}
}

// seedPause is the wait before an object is sent again.
const seedPause = 100 * time.Millisecond

// put writes one object. While many sites start on a busy machine, a call to the key-value service can run into its timeout;
// the answer "unavailable" says that nothing was changed, and the same operation id is applied once.
func (s *Site) put(ctx context.Context, object *operatorv1.Object) error {
	change := &operatorv1.ChangeInfo{OperationId: rand.Text(), Reason: "test site"}
	for {
		_, err := s.Operator(s.Nodes[0]).PutObject(ctx, Authorized(&operatorv1.PutObjectRequest{Object: object, Change: change}))
		if connect.CodeOf(err) != connect.CodeUnavailable || ctx.Err() != nil {
			return err
		}
		time.Sleep(seedPause)
	}
}

// SetDataCentre takes a data centre out or brings it back, through a node.
func (s *Site) SetDataCentre(n *Node, dc string, state operatorv1.DataCentreState) {
	s.t.Helper()
	ctx, cancel := s.timeout()
	defer cancel()
	_, err := s.Operator(n).SetDataCentreState(ctx, Authorized(&operatorv1.SetDataCentreStateRequest{
		Name: dc, State: state, Change: &operatorv1.ChangeInfo{OperationId: rand.Text(), Reason: "test"},
	}))
	s.ok(err, dc)
}

// peerKeyFile writes the shared secret of the nodes.
func (s *Site) peerKeyFile() string {
	path := filepath.Join(s.t.TempDir(), "peer.key")
	s.ok(os.WriteFile(path, []byte("0123456789abcdef0123456789abcdef\n"), 0o600), path)
	return path
}
