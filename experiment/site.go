package experiment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing/hostlist"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/decision/config"
	fakeengine "azuredyke.dev/azuredyke/fake/engine"
	fakehostlist "azuredyke.dev/azuredyke/fake/hostlist"
	"azuredyke.dev/azuredyke/fake/plainservice"
	"azuredyke.dev/azuredyke/service/configuration"
	"azuredyke.dev/azuredyke/service/node"
)

const (
	// queueTimeout bounds the time that a request waits for an endpoint.
	queueTimeout = 30 * time.Second
	// hostListInterval is the interval at which nodes read the host list; hostListLag is the delay of changes in the list.
	hostListInterval = 200 * time.Millisecond
	hostListLag      = time.Second
	readyTimeout     = 30 * time.Second
	readyInterval    = 50 * time.Millisecond
)

// site is the in-process deployment for one run: endpoints, platform and nodes.
type site struct {
	scenario       Scenario
	kv             *memory.KV
	hostList       *fakehostlist.Server
	hostListURL    string
	engines        map[string][]*fakeengine.Server
	plainEndpoints []*plainservice.Server
	nodes          []*node.Node
	changer        *configuration.Changer

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// stopNodes stops the nodes, which must end before the rest of the site.
	stopNodes   context.CancelFunc
	nodeTasks   sync.WaitGroup
	changeCount int
}

// startSite starts the endpoints, the platform and the nodes of a scenario and returns after all nodes are ready.
func startSite(ctx context.Context, scenario Scenario, policy string, seed uint64) (*site, error) {
	s := &site{scenario: scenario, kv: memory.NewKV(), hostList: fakehostlist.NewServer(hostListLag), engines: map[string][]*fakeengine.Server{}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.tasks.Go(func() { s.kv.Run(s.ctx) })
	err := s.start(policy, seed)
	if err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *site) start(policy string, seed uint64) error {
	address, err := s.serve(s.hostList)
	if err != nil {
		return err
	}
	s.hostListURL = "http://" + address
	endpointGroups, err := s.startEndpoints(seed)
	if err != nil {
		return err
	}
	manager := configuration.NewManager(zap.NewNop())
	s.changer = configuration.NewChanger(zap.NewNop(), s.kv, manager)
	s.tasks.Go(func() { manager.Run(s.ctx) })
	s.tasks.Go(func() { s.changer.Run(s.ctx) })
	for _, o := range s.scenario.objects() {
		if err := s.writeObject(o); err != nil {
			return err
		}
	}
	nodeGroups, err := s.startNodes(policy)
	if err != nil {
		return err
	}
	s.hostList.Publish(append(endpointGroups, nodeGroups...))
	return s.waitReady()
}

// startEndpoints starts the endpoints of all data centres and returns their host list entries.
func (s *site) startEndpoints(seed uint64) ([]hostlist.TargetGroup, error) {
	var groups []hostlist.TargetGroup
	addEndpoint := func(service, dataCentre string, h http.Handler) error {
		address, err := s.serve(h)
		if err != nil {
			return err
		}
		groups = append(groups, hostlist.TargetGroup{Targets: []string{address}, Labels: map[string]string{
			hostlist.LabelJob: hostlist.JobEndpoint, hostlist.LabelService: service,
			hostlist.LabelDataCentre: dataCentre, hostlist.LabelState: hostlist.StateLive,
		}})
		return nil
	}
	for _, dc := range s.scenario.DataCentres {
		for range dc.Engines {
			e := fakeengine.NewServer(s.scenario.Engine.options(s.scenario.Workload, seed))
			s.tasks.Go(func() { e.Run(s.ctx) })
			s.engines[dc.Name] = append(s.engines[dc.Name], e)
			if err := addEndpoint(s.scenario.Workload.Model, dc.Name, e); err != nil {
				return nil, err
			}
		}
		for range dc.PlainEndpoints {
			p := plainservice.NewServer(plainservice.Options{})
			s.tasks.Go(func() { p.Run(s.ctx) })
			s.plainEndpoints = append(s.plainEndpoints, p)
			if err := addEndpoint(s.scenario.Workload.Orders.Service, dc.Name, p); err != nil {
				return nil, err
			}
		}
	}
	return groups, nil
}

// startNodes starts the nodes, distributed evenly over the data centres, and returns their host list entries.
func (s *site) startNodes(policy string) ([]hostlist.TargetGroup, error) {
	var groups []hostlist.TargetGroup
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopNodes = cancel
	for i := range s.scenario.Nodes {
		dc := s.scenario.DataCentres[i%len(s.scenario.DataCentres)].Name
		n, err := node.New(zap.NewNop(), s.nodeSettings(policy, dc, i), s.kv, hostlist.NewHTTP(http.DefaultClient, s.hostListURL))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		s.nodes = append(s.nodes, n)
		s.nodeTasks.Go(func() { _ = n.Run(ctx) })
		groups = append(groups, hostlist.TargetGroup{Targets: []string{n.Addresses().Peers}, Labels: map[string]string{
			hostlist.LabelJob: hostlist.JobNode, hostlist.LabelDataCentre: dc, hostlist.LabelState: hostlist.StateLive,
			hostlist.LabelID: nodeID(i),
		}})
	}
	return groups, nil
}

func nodeID(i int) string { return fmt.Sprintf("node-%02d", i) }

func (s *site) nodeSettings(policy, dataCentre string, i int) settings.Settings {
	const anyPort = "127.0.0.1:0"
	result := settings.Default()
	result.Node = settings.Node{ID: nodeID(i), DataCentre: dataCentre, Region: s.scenario.Name}
	result.Listen = settings.Listen{Callers: anyPort, Operators: anyPort, Metrics: anyPort, Peers: anyPort}
	result.Platform.KeyValue.Kind = settings.KeyValueMemory
	result.Platform.HostList.Interval = hostListInterval
	result.Dispatch.Policy = policy
	result.Stop.ReadinessDelay = 0
	return result
}

// waitReady waits until all nodes are ready, at most readyTimeout.
func (s *site) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range s.nodes {
		for !isReady("http://" + n.Addresses().Metrics + "/readyz") {
			if time.Now().After(deadline) {
				return Error.New("a node was not ready within %s", readyTimeout)
			}
			time.Sleep(readyInterval)
		}
	}
	return nil
}

func isReady(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serve serves a handler on a free local port until the site stops, and returns the address.
func (s *site) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.tasks.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// writeObject writes one configuration object, whatever its current revision.
func (s *site) writeObject(o *config.Object) error {
	s.changeCount++
	_, err := s.changer.Change(s.ctx, config.Change{
		Ref: o.Ref, Expected: config.AnyRevision, Proposed: o, Force: true, Actor: "experiment", Reason: "scenario",
		OperationID: fmt.Sprintf("experiment-%d", s.changeCount),
	})
	return Error.Wrap(err)
}

// callerURLs returns the base URLs at which the nodes accept requests of callers.
func (s *site) callerURLs() []string {
	urls := make([]string, 0, len(s.nodes))
	for _, n := range s.nodes {
		urls = append(urls, "http://"+n.Addresses().Callers)
	}
	return urls
}

// stop stops the nodes, then the rest of the site, and waits until all tasks have ended.
func (s *site) stop() {
	if s.stopNodes != nil {
		s.stopNodes()
	}
	s.nodeTasks.Wait()
	s.cancel()
	s.tasks.Wait()
}
