package harness

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing/hostlist"
	"azuredyke.dev/azuredyke/common/keyhash"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/decision/admission"
	"azuredyke.dev/azuredyke/fake/engine"
	fakehostlist "azuredyke.dev/azuredyke/fake/hostlist"
	"azuredyke.dev/azuredyke/fake/kvserver"
	"azuredyke.dev/azuredyke/fake/plainservice"
)

// startTimeout limits each wait during the start of a site.
const startTimeout = 30 * time.Second

// Site is a running deployment: nodes as processes, and fakes of the endpoints, the key-value service and the host list.
type Site struct {
	t       testing.TB
	options Options
	// Nodes are assigned to the data centres round-robin; Engines and PlainEndpoints are grouped by data centre.
	Nodes          []*Node
	Engines        []*Engine
	PlainEndpoints []*PlainEndpoint
	KV             *KeyValue
	HostList       *fakehostlist.Server
	hostListServer *localServer
	leaving        map[string]bool
}

// Start starts a site and waits until every node is ready and every endpoint has reported its load. The site is stopped when
// the test ends.
func Start(t testing.TB, o Options) *Site {
	t.Helper()
	o = o.withDefaults()
	s := &Site{t: t, options: o, HostList: fakehostlist.NewServer(o.HostListLag), leaving: map[string]bool{}}
	s.hostListServer = newLocalServer(t, s.HostList, nil)
	kv := kvserver.NewServer(o.KV)
	s.KV = &KeyValue{Server: kv, Link: newLink(t, "key-value", newLocalServer(t, kv, kv.Run).address)}
	for _, dc := range o.DataCentres {
		for range o.Engines {
			s.AddEngine(dc, o.Engine)
		}
		for range o.PlainEndpoints {
			s.addPlainEndpoint(dc)
		}
	}
	for i := range o.Nodes {
		s.Nodes = append(s.Nodes, newNode(t, s.nodeSettings(fmt.Sprintf("node-%d", i), o.DataCentres[i%len(o.DataCentres)])))
	}
	s.publishHosts()
	for _, n := range s.Nodes {
		n.Start()
	}
	for _, n := range s.Nodes {
		s.Await("node answers its health check", startTimeout, n.Alive)
	}
	s.writeConfiguration()
	for _, n := range s.Nodes {
		s.Await("node is ready", startTimeout, n.Ready)
	}
	s.Await("owners have a load report of every endpoint", startTimeout, s.endpointsKnown)
	return s
}

// Await polls until the condition holds, and fails the test after the limit.
func (s *Site) Await(what string, limit time.Duration, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out after %v waiting for: %s", limit, what)
		}
	}
}

// endpointsKnown reports whether the cell owners have received a load report from every endpoint.
func (s *Site) endpointsKnown() bool {
	known := 0
	for _, state := range s.endpointStates() {
		if state != admission.Unknown.String() {
			known++
		}
	}
	return known == len(s.Engines)+len(s.PlainEndpoints)
}

// EndpointsInState returns the number of endpoints that the cell owners report in the given state.
func (s *Site) EndpointsInState(state admission.State) int {
	count := 0
	for _, found := range s.endpointStates() {
		if found == state.String() {
			count++
		}
	}
	return count
}

// endpointStates returns the states of all endpoints, by endpoint id.
func (s *Site) endpointStates() map[string]string {
	states := map[string]string{}
	for _, n := range s.Nodes {
		for _, e := range s.Endpoints(n) {
			states[e.GetId()] = e.GetState()
		}
	}
	return states
}

// AddEngine starts an engine. Nodes discover the engine when the host list is next published, by Start or SetLeaving.
func (s *Site) AddEngine(dc string, o engine.Options) *Engine {
	server := engine.NewServer(o)
	h := newLocalServer(s.t, server, server.Run)
	e := &Engine{Server: server, Link: newLink(s.t, "engine", h.address), DataCentre: dc, localServer: h}
	s.Engines = append(s.Engines, e)
	return e
}

func (s *Site) addPlainEndpoint(dc string) {
	server := plainservice.NewServer(s.options.Plain)
	h := newLocalServer(s.t, server, server.Run)
	s.PlainEndpoints = append(s.PlainEndpoints, &PlainEndpoint{
		Server: server, Link: newLink(s.t, "plain", h.address), DataCentre: dc, localServer: h,
	})
}

// SetLeaving marks the host with the given link address as leaving and publishes the host list.
func (s *Site) SetLeaving(address string) {
	s.leaving[address] = true
	s.publishHosts()
}

// publishHosts publishes the host list with all engines, plain endpoints and nodes.
func (s *Site) publishHosts() {
	var groups []hostlist.TargetGroup
	add := func(address, job, service, dc, id string) {
		state := hostlist.StateLive
		if s.leaving[address] {
			state = hostlist.StateLeaving
		}
		groups = append(groups, hostlist.TargetGroup{Targets: []string{address}, Labels: map[string]string{
			hostlist.LabelJob: job, hostlist.LabelService: service, hostlist.LabelDataCentre: dc,
			hostlist.LabelRegion: region, hostlist.LabelState: state, hostlist.LabelID: id,
		}})
	}
	for _, e := range s.Engines {
		add(e.Link.Address(), hostlist.JobEndpoint, Model, e.DataCentre, "")
	}
	for _, p := range s.PlainEndpoints {
		add(p.Link.Address(), hostlist.JobEndpoint, PlainService, p.DataCentre, "")
	}
	for _, n := range s.Nodes {
		add(n.PeerLink.Address(), hostlist.JobNode, "", n.Settings.Node.DataCentre, n.Settings.Node.ID)
	}
	s.HostList.Publish(groups)
}

// nodeSettings returns the settings of a node, with short intervals and leases so that failovers are quick.
func (s *Site) nodeSettings(id, dc string) settings.Settings {
	v := settings.Default()
	v.Node = settings.Node{ID: id, DataCentre: dc, Region: region}
	v.Platform.KeyValue.Addresses = []string{s.KV.Link.Address()}
	v.Platform.KeyValue.Timeout = 2 * time.Second
	v.Platform.HostList.URL = "http://" + s.hostListServer.address
	v.Platform.HostList.Interval = 200 * time.Millisecond
	v.Operators = []settings.OperatorToken{{Name: "test", Role: settings.RoleOperator, Hash: keyhash.Of(operatorToken)}}
	v.PeerKeyFile = s.peerKeyFile()
	v.Dispatch.StartWithin = 500 * time.Millisecond
	v.Dispatch.LeaseTTL = 3 * time.Second
	v.Dispatch.RenewInterval = time.Second
	v.Dispatch.LoadInterval = 100 * time.Millisecond
	v.Stop.ReadinessDelay = 100 * time.Millisecond
	v.Log.Level = "debug"
	v.Log.Format = "console"
	if s.options.Settings != nil {
		s.options.Settings(&v)
	}
	return v
}

// callContext returns a context with startTimeout for one operator API call.
func (s *Site) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), startTimeout)
}

// requireNoError fails the test if err is not nil.
func (s *Site) requireNoError(err error, what string) {
	s.t.Helper()
	assert.NilError(s.t, err, what)
}
