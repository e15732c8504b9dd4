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
	// queueTimeout is the longest time that a request of an experiment waits for an endpoint.
	queueTimeout = 30 * time.Second
	// hostListInterval and hostListLag are those of the platform's list of hosts.
	hostListInterval = 200 * time.Millisecond
	hostListLag      = time.Second
	readyTimeout     = 30 * time.Second
	readyInterval    = 50 * time.Millisecond
)

// site is the in-process site of one run: endpoints, platform and nodes.
type site struct {
	scenario Scenario
	kv       *memory.KV
	list     *fakehostlist.Server
	listURL  string
	engines  map[string][]*fakeengine.Server
	plain    []*plainservice.Server
	nodes    []*node.Node
	changer  *configuration.Changer

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// stopNodes ends the nodes before the rest of the site.
	stopNodes context.CancelFunc
	nodesDone sync.WaitGroup
	changes   int
}

// startSite starts the endpoints, the platform and the nodes of a scenario and returns once the nodes are ready.
func startSite(ctx context.Context, s Scenario, policy string, seed uint64) (*site, error) {
	x := &site{scenario: s, kv: memory.NewKV(), list: fakehostlist.NewServer(hostListLag), engines: map[string][]*fakeengine.Server{}}
	x.ctx, x.cancel = context.WithCancel(ctx)
	x.running.Go(func() { x.kv.Run(x.ctx) })
	err := x.start(policy, seed)
	if err != nil {
		x.stop()
		return nil, err
	}
	return x, nil
}

func (x *site) start(policy string, seed uint64) error {
	address, err := x.serve(x.list)
	if err != nil {
		return err
	}
	x.listURL = "http://" + address
	groups, err := x.startEndpoints(seed)
	if err != nil {
		return err
	}
	keeper := configuration.NewKeeper(zap.NewNop())
	x.changer = configuration.NewChanger(zap.NewNop(), x.kv, keeper)
	x.running.Go(func() { keeper.Run(x.ctx) })
	x.running.Go(func() { x.changer.Run(x.ctx) })
	for _, o := range x.scenario.objects() {
		if err := x.change(o); err != nil {
			return err
		}
	}
	nodeGroups, err := x.startNodes(policy)
	if err != nil {
		return err
	}
	x.list.Publish(append(groups, nodeGroups...))
	return x.waitReady()
}

// startEndpoints starts the endpoints of all data centres.
func (x *site) startEndpoints(seed uint64) ([]hostlist.TargetGroup, error) {
	var groups []hostlist.TargetGroup
	add := func(service, dataCentre string, h http.Handler) error {
		address, err := x.serve(h)
		if err != nil {
			return err
		}
		groups = append(groups, hostlist.TargetGroup{Targets: []string{address}, Labels: map[string]string{
			hostlist.LabelJob: hostlist.JobEndpoint, hostlist.LabelService: service,
			hostlist.LabelDataCentre: dataCentre, hostlist.LabelState: hostlist.StateLive,
		}})
		return nil
	}
	for _, dc := range x.scenario.DataCentres {
		for range dc.Engines {
			e := fakeengine.NewServer(x.scenario.Engine.options(x.scenario.Workload, seed))
			x.running.Go(func() { e.Run(x.ctx) })
			x.engines[dc.Name] = append(x.engines[dc.Name], e)
			if err := add(x.scenario.Workload.Model, dc.Name, e); err != nil {
				return nil, err
			}
		}
		for range dc.PlainEndpoints {
			p := plainservice.NewServer(plainservice.Options{})
			x.running.Go(func() { p.Run(x.ctx) })
			x.plain = append(x.plain, p)
			if err := add(x.scenario.Workload.Orders.Service, dc.Name, p); err != nil {
				return nil, err
			}
		}
	}
	return groups, nil
}

// startNodes starts the nodes, spread over the data centres.
func (x *site) startNodes(policy string) ([]hostlist.TargetGroup, error) {
	var groups []hostlist.TargetGroup
	ctx, cancel := context.WithCancel(x.ctx)
	x.stopNodes = cancel
	for i := range x.scenario.Nodes {
		dc := x.scenario.DataCentres[i%len(x.scenario.DataCentres)].Name
		n, err := node.New(zap.NewNop(), x.nodeSettings(policy, dc, i), x.kv, hostlist.NewHTTP(http.DefaultClient, x.listURL))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		x.nodes = append(x.nodes, n)
		x.nodesDone.Go(func() { _ = n.Run(ctx) })
		groups = append(groups, hostlist.TargetGroup{Targets: []string{n.Addresses().Peers}, Labels: map[string]string{
			hostlist.LabelJob: hostlist.JobNode, hostlist.LabelDataCentre: dc, hostlist.LabelState: hostlist.StateLive,
			hostlist.LabelID: nodeID(i),
		}})
	}
	return groups, nil
}

func nodeID(i int) string { return fmt.Sprintf("node-%02d", i) }

func (x *site) nodeSettings(policy, dataCentre string, i int) settings.Settings {
	const anyPort = "127.0.0.1:0"
	s := settings.Default()
	s.Node = settings.Node{ID: nodeID(i), DataCentre: dataCentre, Region: x.scenario.Name}
	s.Listen = settings.Listen{Callers: anyPort, Operators: anyPort, Metrics: anyPort, Peers: anyPort}
	s.Platform.KeyValue.Kind = settings.KeyValueMemory
	s.Platform.HostList.Interval = hostListInterval
	s.Dispatch.Policy = policy
	s.Stop.ReadinessDelay = 0
	return s
}

// waitReady waits until every node is ready.
func (x *site) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range x.nodes {
		for !ready("http://" + n.Addresses().Metrics + "/readyz") {
			if time.Now().After(deadline) {
				return Error.New("a node was not ready after %s", readyTimeout)
			}
			time.Sleep(readyInterval)
		}
	}
	return nil
}

func ready(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serve serves a handler until the site stops and returns its address.
func (x *site) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	x.running.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(x.ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// change writes one object.
func (x *site) change(o *config.Object) error {
	x.changes++
	_, err := x.changer.Change(x.ctx, config.Change{
		Ref: o.Ref, Expected: config.AnyRevision, Proposed: o, Force: true, Actor: "experiment", Reason: "scenario",
		OperationID: fmt.Sprintf("experiment-%d", x.changes),
	})
	return Error.Wrap(err)
}

// urls returns the base URLs of the nodes.
func (x *site) urls() []string {
	urls := make([]string, 0, len(x.nodes))
	for _, n := range x.nodes {
		urls = append(urls, "http://"+n.Addresses().Callers)
	}
	return urls
}

// stop ends the nodes and then the rest.
func (x *site) stop() {
	if x.stopNodes != nil {
		x.stopNodes()
	}
	x.nodesDone.Wait()
	x.cancel()
	x.running.Wait()
}
