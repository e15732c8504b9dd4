package development

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing/hostlist"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/common/keyhash"
	"azuredyke.dev/azuredyke/common/settings"
	fakeengine "azuredyke.dev/azuredyke/fake/engine"
	fakehostlist "azuredyke.dev/azuredyke/fake/hostlist"
	"azuredyke.dev/azuredyke/fake/plainservice"
	"azuredyke.dev/azuredyke/service/node"
)

// Error is the class of the errors of this package.
var Error = errs.Class("development")

// Names and credentials in the configuration of a development site.
const (
	// WorkspaceKey is the API key of the workspace "dev".
	WorkspaceKey = "dev"
	// OperatorToken is the token of the operator "dev".
	OperatorToken = "dev"
	Model         = "notes"
	PlainService  = "orders"
)

const (
	answerTokens = 24
	stepTime     = 20 * time.Millisecond
)

// dataCentres are the data centres of the site; each has one model endpoint and one plain endpoint.
var dataCentres = []string{"east", "west"}

// Site is a running development site.
type Site struct {
	log       *zap.Logger
	node      *node.Node
	kv        *memory.KV
	fakeTasks []func(context.Context)
	servers   []*http.Server
	listeners []net.Listener
	tasks     sync.WaitGroup
}

// New creates the endpoints and the node and opens their listeners. They serve once Run is started.
func New(log *zap.Logger, listen settings.Listen) (*Site, error) {
	s := &Site{log: log, kv: memory.NewKV()}
	list := fakehostlist.NewServer(0)
	groups, err := s.openEndpoints()
	if err != nil {
		return nil, err
	}
	list.Publish(groups)
	address, err := s.openListener(list)
	if err != nil {
		return nil, err
	}
	s.node, err = node.New(log, siteSettings(listen), s.kv, hostlist.NewHTTP(http.DefaultClient, "http://"+address))
	return s, err
}

// Addresses returns the addresses that the node listens on.
func (s *Site) Addresses() settings.Listen { return s.node.Addresses() }

// Run serves until ctx ends.
func (s *Site) Run(ctx context.Context) error {
	platformCtx, stopPlatform := context.WithCancel(context.WithoutCancel(ctx))
	s.tasks.Go(func() { s.kv.Run(platformCtx) })
	for _, run := range s.fakeTasks {
		s.tasks.Go(func() { run(platformCtx) })
	}
	for i, server := range s.servers {
		s.tasks.Go(func() { _ = server.Serve(s.listeners[i]) })
	}
	err := seed(ctx, s.kv)
	if err == nil {
		err = s.node.Run(ctx)
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	stopPlatform()
	s.tasks.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return Error.Wrap(err)
}

// openEndpoints creates the endpoints of all data centres, opens their listeners and returns their host list entries.
func (s *Site) openEndpoints() ([]hostlist.TargetGroup, error) {
	var groups []hostlist.TargetGroup
	for _, dc := range dataCentres {
		engine := fakeengine.NewServer(fakeengine.Options{Model: Model, Tokens: answerTokens, StepTime: stepTime})
		plain := plainservice.NewServer(plainservice.Options{})
		s.fakeTasks = append(s.fakeTasks, engine.Run, plain.Run)
		for service, handler := range map[string]http.Handler{Model: engine, PlainService: plain} {
			address, err := s.openListener(handler)
			if err != nil {
				return nil, err
			}
			groups = append(groups, hostlist.TargetGroup{Targets: []string{address}, Labels: map[string]string{
				hostlist.LabelJob: hostlist.JobEndpoint, hostlist.LabelService: service,
				hostlist.LabelDataCentre: dc, hostlist.LabelState: hostlist.StateLive,
			}})
		}
	}
	return groups, nil
}

// openListener opens a listener for a handler and returns its address. The handler serves once Run is started.
func (s *Site) openListener(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	s.listeners = append(s.listeners, listener)
	s.servers = append(s.servers, &http.Server{Handler: h, ReadHeaderTimeout: time.Second})
	return listener.Addr().String(), nil
}

// siteSettings returns the settings of the node with the given listening addresses.
func siteSettings(listen settings.Listen) settings.Settings {
	s := settings.Default()
	s.Node = settings.Node{ID: "dev", DataCentre: dataCentres[0], Region: "local"}
	s.Listen = listen
	s.Listen.PeersAdvertised = s.Listen.Peers
	s.Platform.KeyValue.Kind = settings.KeyValueMemory
	s.Platform.HostList.Interval = 200 * time.Millisecond
	s.Operators = []settings.OperatorToken{{Name: "dev", Role: settings.RoleOperator, Hash: keyhash.Of(OperatorToken)}}
	s.Stop.ReadinessDelay = 0
	return s
}
