package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/httpserver"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/common/sockopt"
	"azuredyke.dev/azuredyke/decision/gather"
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/service/ratelimit"
	"azuredyke.dev/azuredyke/service/rollout"
	"azuredyke.dev/azuredyke/transport/peer"
)

const (
	// runtimeShare is the share of the process's memory limit for the Go runtime. The rest is for kernel stacks and socket
	// buffers.
	runtimeShare = 0.7
	// bodyShare is the share of the process's memory limit for request bodies.
	bodyShare = 0.25
	// callerBufferShare is the share of the process's memory limit for events that callers have not read. On the smallest nodes it
	// is 11 MB, 32 KB for each of 340 streams.
	callerBufferShare = 0.1
	// headerTimeout and maxHeaderBytes are fixed at the values that the operators' configurations use. The limits of the
	// configuration in force are not applied.
	headerTimeout  = 3 * time.Second
	maxHeaderBytes = 16 << 10
	// idleTimeout exceeds the time for which the platform's callers keep idle connections open.
	idleTimeout = time.Minute
)

// Node runs the tasks and listeners of one node.
type Node struct {
	log      *zap.Logger
	settings settings.Edge
	deps     Dependencies
	self     Member

	view       *view
	dispatcher *dispatcher
	peers      *peers
	quarantine *quarantine.Manager
	recorder   *quarantine.Recorder
	rates      *ratelimit.Manager
	// rollouts and decider are nil unless the feature is on.
	rollouts *rollout.Manager
	decider  *rollout.Decider
	hub      *peer.Hub
	server   *Server
}

// New returns a node that has not started.
func New(log *zap.Logger, s settings.Edge, d Dependencies) *Node {
	n := &Node{log: logging.For(log, logging.Node), settings: s, deps: d}
	n.self = Member{
		ID: s.Node.ID, Address: cmp.Or(s.Listen.PeersAdvertised, s.Listen.Peers), DataCentre: s.Node.DataCentre,
		Capacity: s.Limits.MilliCores(),
	}
	n.view = newView(logging.For(log, logging.Configuration), n.self, d.Translate)
	n.dispatcher = newDispatcher(logging.For(log, logging.Dispatcher), dispatchParams(s), n.view.current)
	n.dispatcher.speedMetrics.scope = d.Metrics.Scope.SubScope("dispatcher")
	n.dispatcher.promptMetrics.scope = n.dispatcher.speedMetrics.scope
	n.dispatcher.metrics = newOverloadMetrics(d.Metrics.Scope.SubScope("admission"))
	n.hub = peer.NewHub(logging.For(log, logging.Peer), peer.Options{
		NodeID: s.Node.ID, TrustedNetwork: s.Peers.TrustedNetwork, Scope: d.Metrics.Scope.SubScope("peer"),
	})
	n.peers = &peers{
		log: logging.For(log, logging.Peer), hub: n.hub, self: n.self, cluster: n.view.current,
		messages: mailbox.New[peersMessage](peersCapacity), others: newOthersLoadReceiver(n.dispatcher.messages),
		ownLoads: n.dispatcher.ownLoads, duty: gather.NewRelayDuty(),
		reporter: gather.NewReporter(rand.Uint64()), sums: gather.NewLoadSums(rand.Uint64()), topology: n.view.topology,
		hints: mailbox.New[revisionHint](hintCapacity), pressure: newPressureExchange(n.dispatcher),
	}
	n.peers.register()
	handleSync(n.hub, n.view.current, n.view.messages)
	n.quarantine = quarantine.NewManager(logging.For(log, logging.Gateway), quarantinePeers{hub: n.hub, self: n.self, cluster: n.view.current})
	handleQuarantine(n.hub, n.quarantine)
	n.view.quarantine = n.quarantine
	n.recorder = quarantine.NewRecorder(logging.For(log, logging.Gateway), d.Store, n.quarantine, n.view.storedMarks)
	ratePeers := rateLimitPeers{hub: n.hub, self: n.self, cluster: n.view.current}
	n.rates = ratelimit.NewManager(logging.For(log, logging.Dispatcher), ratePeers)
	n.dispatcher.announceRateLimit = ratePeers.Announce
	handleRateLimits(n.hub, n.rates, n.dispatcher.messages)
	n.server = &Server{
		log: logging.For(log, logging.Gateway), cluster: n.view.current, placer: placer{messages: n.dispatcher.messages},
		sender: d.Sender, mover: d.Mover, liveness: d.Liveness, newStream: d.NewStream, metrics: newServerMetrics(d.Metrics.Scope.SubScope("gateway")),
		quarantine: n.quarantine, rates: n.rates, graceEnd: newGraceEnd(),
	}
	n.server.revokeAfter.Store(int64(s.Bounds.Revoke))
	if s.Features.CallerBuffers {
		n.server.buffers = newBufferKeeper(int64(callerBufferShare*float64(s.Limits.MemoryMB)*1e6), d.Metrics.Scope.SubScope("gateway"))
	}
	n.server.orderedAdmission.Store(s.Features.OrderedAdmission)
	n.addRollouts(d)
	return n
}

// Run serves until ctx ends, then shuts down gracefully. It returns an error if a listener cannot be opened or fails.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(runtimeShare * float64(n.settings.Limits.MemoryMB) * 1e6))
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var running sync.WaitGroup
	for _, run := range n.tasks() {
		running.Go(func() { run(tasks) })
	}
	servers, err := n.listen(tasks)
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		running.Go(func() { failed <- s.Run() })
	}
	n.log.Info("node started", zap.String("node", n.settings.Node.ID), zap.String("data_centre", n.settings.Node.DataCentre),
		zap.String("callers", n.settings.Listen.Callers), zap.String("peers", n.settings.Listen.Peers))
	select {
	case <-ctx.Done():
		n.stop(servers[0])
	case err = <-failed:
	}
	for _, s := range servers {
		s.Close()
	}
	stopTasks()
	running.Wait()
	n.log.Info("node stopped", logging.Cause(err))
	return Error.Wrap(err)
}

// tasks returns the run functions of the node's tasks.
func (n *Node) tasks() []func(context.Context) {
	client := syncClient{hub: n.hub, view: n.view.messages}
	follow := &follower{
		log: n.view.log, store: n.deps.Store, syncClient: client,
		cluster: n.view.current, view: n.view.messages, avoidUntil: map[string]time.Time{},
	}
	probe := &prober{log: n.log, reporter: n.deps.Reporter, cluster: n.view.current, dispatcher: n.dispatcher.messages}
	resync := &resyncer{log: n.view.log, syncClient: client, seeds: n.settings.Peers.Seeds, cluster: n.view.current, hints: n.peers.hints}
	register := &registration{log: n.log, store: n.deps.Store, member: n.self, cluster: n.view.current}
	tasks := []func(context.Context){n.view.run, n.dispatcher.run, n.quarantine.Run, n.recorder.Run, n.rates.Run, n.hub.Run, n.peers.run, follow.run, resync.run, probe.run, register.run}
	if n.server.buffers != nil {
		tasks = append(tasks, n.server.buffers.run)
	}
	if n.rollouts != nil {
		tasks = append(tasks, n.rollouts.Run, n.decider.Run)
	}
	return tasks
}

// listen opens all listeners; the first is that for callers.
func (n *Node) listen(ctx context.Context) ([]*httpserver.Server, error) {
	pages := mux.NewRouter()
	pages.Handle("/metrics", n.deps.Metrics.Handler)
	pages.Handle("/explain", newExplainer(n.server)).Methods(http.MethodGet)
	controlCallers := sockopt.ControlCallers
	if n.server.buffers != nil {
		controlCallers = sockopt.ControlBufferedCallers
	}
	if n.rollouts != nil {
		pages.Handle("/rollouts", rolloutsPage{manager: n.rollouts})
	}
	budget := int64(bodyShare * float64(n.settings.Limits.MemoryMB) * 1e6)
	var servers []*httpserver.Server
	for _, entry := range []struct {
		address string
		handler http.Handler
		control func(network, address string, conn syscall.RawConn) error
	}{
		{n.settings.Listen.Callers, n.deps.NewHandler(n.server, budget), controlCallers},
		{n.settings.Listen.Readiness, &readiness{server: n.server}, sockopt.Control},
		{n.settings.Listen.Metrics, pages, sockopt.Control},
		{n.settings.Listen.Peers, n.hub.Handler(), sockopt.Control},
	} {
		config := net.ListenConfig{Control: entry.control, KeepAlive: -1}
		listener, err := config.Listen(ctx, "tcp", entry.address)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		servers = append(servers, &httpserver.Server{Listener: listener, HTTP: &http.Server{
			Handler: entry.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		}})
	}
	return servers, nil
}
