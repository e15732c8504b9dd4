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

// Names and values in the configuration of a Site.
const (
	// Model is the name of the model and of the service that offers it.
	Model = "notes"
	// PlainService is the name of the plain service. Its POST requests must not be repeated.
	PlainService = "orders"
	// WorkspaceKey is the API key of the only workspace.
	WorkspaceKey = "test-workspace"

	operatorToken  = "test-operator"
	region         = "local"
	queueTimeoutMs = 20_000
)

// Operator returns a client for a node's operator API.
func (s *Site) Operator(n *Node) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+n.Settings.Listen.Operators)
}

// Authorized returns a request that carries the operator token.
func Authorized[T any](message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+operatorToken)
	return r
}

// Endpoints returns the endpoints of all cells whose owners the node can reach.
func (s *Site) Endpoints(n *Node) []*operatorv1.Endpoint {
	s.t.Helper()
	ctx, cancel := s.callContext()
	defer cancel()
	response, err := s.Operator(n).ListEndpoints(ctx, Authorized(&operatorv1.ListEndpointsRequest{}))
	s.requireNoError(err, "list endpoints")
	return response.Msg.GetEndpoints()
}

// writeConfiguration writes the site's configuration through the operator API of the first node.
func (s *Site) writeConfiguration() {
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
		service.Cells, service.QueueTimeoutMs, service.HonoursFencing = 1, queueTimeoutMs, o.HonoursFencing
		objects = append(objects, &operatorv1.Object{Name: name, Spec: &operatorv1.Object_Service{Service: service}})
	}
	objects = append(objects, &operatorv1.Object{Name: "test", Spec: &operatorv1.Object_Workspace{
		Workspace: &operatorv1.WorkspaceSpec{KeyHashes: []string{keyhash.Of(WorkspaceKey)}, Weight: 1},
	}})
	ctx, cancel := s.callContext()
	defer cancel()
	for _, object := range objects {
		s.requireNoError(s.put(ctx, object), object.GetName())
	}
}

// putRetryInterval is the pause before an object is sent again.
const putRetryInterval = 100 * time.Millisecond

// put writes one object and retries while the node answers "unavailable". When many sites start on a busy machine, calls to
// the key-value service can time out. Retrying is safe, since "unavailable" means that nothing was changed and an operation
// id is applied only once.
func (s *Site) put(ctx context.Context, object *operatorv1.Object) error {
	change := &operatorv1.ChangeInfo{OperationId: rand.Text(), Reason: "test site"}
	for {
		_, err := s.Operator(s.Nodes[0]).PutObject(ctx, Authorized(&operatorv1.PutObjectRequest{Object: object, Change: change}))
		if connect.CodeOf(err) != connect.CodeUnavailable || ctx.Err() != nil {
			return err
		}
		time.Sleep(putRetryInterval)
	}
}

// SetDataCentre sets the state of a data centre through a node's operator API.
func (s *Site) SetDataCentre(n *Node, dc string, state operatorv1.DataCentreState) {
	s.t.Helper()
	ctx, cancel := s.callContext()
	defer cancel()
	_, err := s.Operator(n).SetDataCentreState(ctx, Authorized(&operatorv1.SetDataCentreStateRequest{
		Name: dc, State: state, Change: &operatorv1.ChangeInfo{OperationId: rand.Text(), Reason: "test"},
	}))
	s.requireNoError(err, dc)
}

// peerKeyFile writes the nodes' shared secret to a file and returns its path.
func (s *Site) peerKeyFile() string {
	path := filepath.Join(s.t.TempDir(), "peer.key")
	s.requireNoError(os.WriteFile(path, []byte("0123456789abcdef0123456789abcdef\n"), 0o600), path)
	return path
}
