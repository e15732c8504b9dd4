package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/common/settings"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
	"azuredyke.dev/azuredyke/service/configuration"
)

// fixture is a server and a client of the operator API, with real configuration tasks. The token "op" has the role operator,
// and the token "view" the role viewer.
type fixture struct {
	operatorv1connect.OperatorServiceClient
	server *httptest.Server
}

// startFixture returns a fixture that runs until the test ends.
func startFixture(t *testing.T) *fixture {
	t.Helper()
	log, kv := zap.NewNop(), memory.NewKV()
	manager := configuration.NewManager(log)
	changer := configuration.NewChanger(log, kv, manager)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){kv.Run, manager.Run, changer.Run} {
		tasks.Go(func() { run(ctx) })
	}
	server := httptest.NewServer(NewServer(log, changer, manager.Current(), emptyFleet{}).Handler([]settings.OperatorToken{
		{Name: "ann", Role: settings.RoleOperator, Hash: hash("op")},
		{Name: "vic", Role: settings.RoleViewer, Hash: hash("view")},
	}))
	t.Cleanup(func() {
		server.Close()
		cancel()
		tasks.Wait()
	})
	return &fixture{server: server, OperatorServiceClient: operatorv1connect.NewOperatorServiceClient(server.Client(), server.URL)}
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// withToken returns a request with a bearer token, or without one if token is empty.
func withToken[M any](token string, message *M) *connect.Request[M] {
	req := connect.NewRequest(message)
	if token != "" {
		req.Header().Set("Authorization", "Bearer "+token)
	}
	return req
}

// emptyFleet implements FleetReader without nodes.
type emptyFleet struct{}

func (emptyFleet) Nodes(context.Context) ([]*operatorv1.Node, error) { return nil, nil }
func (emptyFleet) Endpoints(context.Context, string) ([]*operatorv1.Endpoint, error) {
	return nil, nil
}
func (emptyFleet) Cells(context.Context) ([]*operatorv1.Cell, error) { return nil, nil }
