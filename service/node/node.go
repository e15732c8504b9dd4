package node

import (
	"bytes"
	"os"
	"sync/atomic"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/metrics"
	"azuredyke.dev/azuredyke/common/settings"
	decision "azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/service/claims"
	"azuredyke.dev/azuredyke/service/configuration"
	"azuredyke.dev/azuredyke/service/dispatcher"
	"azuredyke.dev/azuredyke/service/gateway"
	"azuredyke.dev/azuredyke/service/hosts"
	"azuredyke.dev/azuredyke/service/limits"
	"azuredyke.dev/azuredyke/service/membership"
	"azuredyke.dev/azuredyke/service/operator"
	"azuredyke.dev/azuredyke/service/ownership"
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/service/retries"
	"azuredyke.dev/azuredyke/service/router"
	"azuredyke.dev/azuredyke/transport/engine"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Error is the class of the errors of this package.
var Error = errs.Class("node")

// Node holds the tasks and the listeners of one node.
type Node struct {
	rootLog         *zap.Logger
	log             *zap.Logger
	settings        settings.Settings
	kv              backing.KV
	metrics         *metrics.Registry
	listeners       listeners
	tlsConfigs      tlsConfigs
	client          *engine.Client
	hub             *peer.Hub
	memberView      *memberView
	members         *membership.Agent
	configManager   *configuration.Manager
	watcher         *configuration.Watcher
	changer         *configuration.Changer
	distributor     *configuration.Distributor
	hosts           *hosts.Poller
	ownership       *ownership.Manager
	dispatcher      *dispatcher.Dispatcher
	router          *router.Router
	placementServer *router.Server
	shards          *claims.ShardManager
	limits          *limits.Limiter
	retries         *retries.Manager
	quarantine      *quarantine.Manager
	detached        *gateway.DetachedSessions
	gateway         *gateway.Server
	operator        *operator.Server
	// stopping is set at the start of a graceful stop; the readiness check fails from then on.
	stopping atomic.Bool
}

// New creates a node and opens its listeners, so that Addresses returns the actual ports.
func New(log *zap.Logger, s settings.Settings, kv backing.KV, list backing.HostList) (*Node, error) {
	n := &Node{rootLog: log, log: logging.For(log, logging.Node), kv: kv, metrics: metrics.NewRegistry()}
	secret, err := readSecret(s.PeerKeyFile)
	if err != nil {
		return nil, err
	}
	if n.tlsConfigs, err = newTLSConfigs(n.log, s.TLS); err != nil {
		return nil, err
	}
	if err := n.listeners.open(s.Listen); err != nil {
		return nil, err
	}
	s.Listen = n.listeners.addresses(s.Listen)
	s.Node.ID = defaultNodeID(s.Node.ID, s.Listen.PeersAdvertised)
	n.settings = s
	n.client = engine.NewClient(s.Dispatch.ConnectTimeout, n.tlsConfigs.endpoints)
	n.hub = peer.NewHub(logging.For(log, logging.Peer), peer.Options{
		NodeID: s.Node.ID, Secret: secret, TLS: n.tlsConfigs.dialPeers, Scope: n.metrics.Scope.SubScope("peer"),
	})
	n.memberView = newMemberView(s.Node.ID)
	n.assembleControl(list)
	n.assembleService()
	n.handlePeers()
	return n, nil
}

// assembleControl creates the tasks that coordinate this node with other nodes and the platform.
func (n *Node) assembleControl(list backing.HostList) {
	s := n.settings
	configLog := logging.For(n.rootLog, logging.Configuration)
	n.configManager = configuration.NewManager(configLog)
	n.watcher = configuration.NewRelayWatcher(configLog, n.kv, n.configManager, n.memberView.isRelay)
	n.distributor = configuration.NewDistributor(configLog, n.configManager,
		configPeers{hub: n.hub, members: n.memberView.otherMembers}, n.watcher,
		configuration.DistributorOptions{SelfAddress: s.Listen.PeersAdvertised})
	n.changer = configuration.NewChanger(configLog, n.kv, n.configManager)
	n.hosts = hosts.NewPoller(logging.For(n.rootLog, logging.Membership), list, s.Platform.HostList.Interval)
	n.ownership = ownership.NewManager(logging.For(n.rootLog, logging.Ownership), n.kv, ownership.Options{
		NodeID: s.Node.ID, Address: s.Listen.PeersAdvertised, LeaseTTL: s.Dispatch.LeaseTTL,
		RenewInterval: s.Dispatch.RenewInterval, StartWithin: s.Dispatch.StartWithin,
		CallTimeout: s.Platform.KeyValue.Timeout, Members: n.memberView.aliveIDs, WaitDrained: n.waitUntilDrained,
	}, n.configManager.Current())
	n.members = membership.NewAgent(logging.For(n.rootLog, logging.Membership), membership.Options{Self: decision.Member{
		ID: s.Node.ID, Address: s.Listen.PeersAdvertised, DataCentre: s.Node.DataCentre, Region: s.Node.Region,
	}}, membership.HubTransport{Hub: n.hub}, n.hosts.Current(), n.configManager.Current(), n.ownership.Current())
}

// assembleService creates the tasks that serve callers and operators.
func (n *Node) assembleService() {
	s := n.settings
	n.dispatcher = dispatcher.New(logging.For(n.rootLog, logging.Dispatcher), s.Dispatch, n.client, n.configManager.Current(),
		n.hosts.Current(), n.ownership.Current(), dispatcher.WithMetrics(n.metrics.Scope),
		dispatcher.WithFenceObserver(fenceObserver{log: n.log, ownership: n.ownership}))
	routerLog := logging.For(n.rootLog, logging.Router)
	n.router = router.New(routerLog, router.Options{
		DataCentre: s.Node.DataCentre, Region: s.Node.Region, Hub: n.hub, Members: n.members.Current(),
	}, n.configManager.Current(), n.dispatcher.Cells())
	n.placementServer = router.NewServer(routerLog, n.dispatcher.Cells())
	claimsLog := logging.For(n.rootLog, logging.Claims)
	n.shards = claims.NewShardManager(claimsLog, n.kv, claims.Options{
		Retention: s.Claims.Retention, WritesPerSecond: s.Claims.WritesPerSecond, CallTimeout: s.Platform.KeyValue.Timeout,
	}, n.ownership.Current())
	n.limits = limits.NewLimiter(n.configManager.Current(), n.memberView.aliveCount)
	n.retries = retries.NewManager()
	n.quarantine = quarantine.NewManager(logging.For(n.rootLog, logging.Gateway),
		quarantinePeers{hub: n.hub, table: n.members.Current()})
	n.detached = gateway.NewDetachedSessions()
	n.gateway = gateway.NewServer(logging.For(n.rootLog, logging.Gateway), gateway.Options{
		NodeID: s.Node.ID, Limits: s.Limits, StallAfter: s.Dispatch.StallAfter,
		FirstTokenTimeout: s.Dispatch.SuspectAfter, ClaimTimeout: s.Claims.Timeout, ClaimRetention: s.Claims.Retention,
	}, gateway.Dependencies{
		Config: n.configManager.Current(), Placer: n.router,
		Claimer: claims.NewClient(n.shards, claimPeers{hub: n.hub, table: n.members.Current()}),
		Limiter: n.limits, Retries: n.retries,
		Quarantine: n.quarantine, Client: n.client, Hosts: n.hosts.Current(), Detached: n.detached,
		Takeover: streamTakeover{hub: n.hub, table: n.members.Current(), local: n.detached},
	}, n.metrics.Scope)
	n.operator = operator.NewServer(logging.For(n.rootLog, logging.Operator),
		n.changer, n.configManager.Current(), &fleetReader{node: n})
}

// handlePeers registers the handlers for messages of other nodes.
func (n *Node) handlePeers() {
	membership.RegisterHandlers(n.hub, n.members)
	router.RegisterHandlers(n.hub, n.placementServer)
	handleQuarantine(n.hub, n.quarantine)
	handleTakeOver(n.hub, n.detached)
	handleClaims(n.hub, n.shards)
	handleConfig(n.hub, n.configManager, n.distributor)
}

// readSecret reads the shared secret of the links between nodes. An empty path means no secret.
func readSecret(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	secret, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return bytes.TrimSpace(secret), nil
}

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() settings.Listen { return n.settings.Listen }

// defaultNodeID returns id, or address if id is empty.
func defaultNodeID(id, address string) string {
	if id == "" {
		return address
	}
	return id
}
