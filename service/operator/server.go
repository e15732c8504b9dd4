package operator

import (
	"net/http"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// maxMessageBytes limits each RPC message.
const maxMessageBytes = 1 << 20

// Server implements the operator API.
type Server struct {
	log     *zap.Logger
	changer Changer
	current *latest.Value[*config.Snapshot]
	fleet   FleetReader
}

// NewServer returns a server that makes changes through changer and reads the configuration in force from current.
func NewServer(log *zap.Logger, changer Changer, current *latest.Value[*config.Snapshot], fleet FleetReader) *Server {
	return &Server{log: log, changer: changer, current: current, fleet: fleet}
}

// Handler returns the HTTP handler of the API, which accepts the given tokens.
func (s *Server) Handler(tokens []settings.OperatorToken) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(s,
		connect.WithInterceptors(newAuthenticator(tokens, s.recordRoleRefusal)), connect.WithReadMaxBytes(maxMessageBytes)))
	return bodyReader{next: mux, errors: connect.NewErrorWriter()}
}
