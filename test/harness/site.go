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

// startTimeout bounds the wait until a site is ready.
const startTimeout = 30 * time.Second

// Site is a running site: nodes, endpoints, a key-value service and a list of hosts.
type Site struct {
	t       testing.TB
	options Options
	// Nodes, Engines and Plains are in the order of the data centres.
	Nodes    []*Node
	Engines  []*Engine
	Plains   []*Plain
	KV       *KeyValue
	HostList *fakehostlist.Server
	hostList *host
	leaving  map[string]bool
}

// Start starts a site and waits until every node is ready. Everything ends with the test.
func Start(t testing.TB, o Options) *Site {
	t.Helper()
	o = o.withDefaults()
	s := &Site{t: t, options: o, HostList: fakehostlist.NewServer(o.HostListLag), leaving: map[string]bool{}}
	s.hostList = newHost(t, s.HostList, nil)
	kv := kvserver.NewServer(o.KV)
	s.KV = &KeyValue{Server: kv, Link: newLink(t, "key-value", newHost(t, kv, kv.Run).address)}
	for _, dc := range o.DataCentres {
		for range o.Engines {
			s.AddEngine(dc, o.Engine)
		}
		for range o.Plains {
			s.addPlain(dc)
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
		s.Await("node answers", startTimeout, n.Alive)
	}
	s.seed()
	for _, n := range s.Nodes {
		s.Await("node is ready", startTimeout, n.Ready)
	}
	s.Await("owners know every endpoint", startTimeout, s.endpointsKnown)
	return s
}

// Await waits until the condition holds, and fails the test after the limit.
func (s *Site) Await(what string, limit time.Duration, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// endpointsKnown reports whether the owners of the cells have seen a load report of every endpoint.
func (s *Site) endpointsKnown() bool {
	known := 0
	for _, state := range s.states() {
		if state != admission.Unknown.String() {
			known++
		}
	}
	return known == len(s.Engines)+len(s.Plains)
}

// InState returns the number of endpoints that their owners see in the given state.
func (s *Site) InState(state admission.State) int {
	count := 0
	for _, found := range s.states() {
		if found == state.String() {
			count++
		}
	}
	return count
}

// states returns the states of all endpoints by id.
func (s *Site) states() map[string]string {
	states := map[string]string{}
	for _, n := range s.Nodes {
		for _, e := range s.Endpoints(n) {
			states[e.GetId()] = e.GetState()
		}
	}
	return states
}

// AddEngine adds an engine. Nodes see it once the list of hosts is published, which Start and PublishHosts do.
func (s *Site) AddEngine(dc string, o engine.Options) *Engine {
	server := engine.NewServer(o)
	h := newHost(s.t, server, server.Run)
	e := &Engine{Server: server, Link: newLink(s.t, "engine", h.address), DataCentre: dc, host: h}
	s.Engines = append(s.Engines, e)
	return e
}

func (s *Site) addPlain(dc string) {
	server := plainservice.NewServer(s.options.Plain)
	h := newHost(s.t, server, server.Run)
	s.Plains = append(s.Plains, &Plain{
		Server: server, Link: newLink(s.t, "plain", h.address), DataCentre: dc, host: h,
	})
}

// SetLeaving shows a host as leaving in the list of hosts. The address is that of its link.
func (s *Site) SetLeaving(address string) {
	s.leaving[address] = true
	s.publishHosts()
}

// publishHosts publishes the list of hosts.
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
	for _, p := range s.Plains {
		add(p.Link.Address(), hostlist.JobEndpoint, PlainService, p.DataCentre, "")
	}
	for _, n := range s.Nodes {
		add(n.Peer.Address(), hostlist.JobNode, "", n.Settings.Node.DataCentre, n.Settings.Node.ID)
	}
	s.HostList.Publish(groups)
}

// nodeSettings returns the settings of a node, with short times so that failovers do not slow the tests down.
func (s *Site) nodeSettings(id, dc string) settings.Settings {
	v := settings.Default()
	v.Node = settings.Node{ID: id, DataCentre: dc, Region: region}
	v.Platform.KeyValue.Addresses = []string{s.KV.Link.Address()}
	v.Platform.KeyValue.Timeout = 2 * time.Second
	v.Platform.HostList.URL = "http://" + s.hostList.address
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

// timeout returns a context for one helper call.
func (s *Site) timeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), startTimeout)
}

// ok fails the test on an error.
func (s *Site) ok(err error, what string) {
	s.t.Helper()
	assert.NilError(s.t, err, what)
}
