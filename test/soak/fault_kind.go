package soak

// faultKind is one kind of fault.
type faultKind string

// Kinds of faults.
const (
	// nodePause stops a process without ending it, and lets it go on.
	nodePause faultKind = "node pause"
	nodeKill  faultKind = "node kill"
	// nodeTerm is a planned stop; the process is started again once it has ended.
	nodeTerm faultKind = "node term"
	// nodeHangup says that the settings have changed, again and again.
	nodeHangup faultKind = "node hangup"
	// allKill ends all processes at once.
	allKill faultKind = "all kill"

	storeLinkStall  faultKind = "store link stall"
	storeLinkCut    faultKind = "store link cut"
	storeLinkDelay  faultKind = "store link delay"
	storeLinkOneWay faultKind = "store link one way"
	peerLinkStall   faultKind = "peer link stall"
	peerLinkCut     faultKind = "peer link cut"
	callerLinkReset faultKind = "caller link reset"
	callerLinkDelay faultKind = "caller link delay"

	storeRefuse faultKind = "store refuse"
	storeLose   faultKind = "store lose answers"
	storeSlow   faultKind = "store slow"
	storeForget faultKind = "store forget"

	workerLinkStall  faultKind = "worker link stall"
	workerLinkOneWay faultKind = "worker link one way"
	workerLinkReset  faultKind = "worker link reset"
	workerLinkDelay  faultKind = "worker link delay"
	// workerBehave lets a worker refuse, fail, reset, truncate or cross its answers.
	workerBehave faultKind = "worker behave"
	// workerCrash ends a worker without a notice; another one comes.
	workerCrash faultKind = "worker crash"
	// workerLeave announces that a worker leaves; it is gone after a while, and a cold one comes.
	workerLeave faultKind = "worker leave"

	// revoke takes the oldest key away.
	revoke faultKind = "revoke"
	// routeAdd adds a route, routeDrop drops the oldest added one.
	routeAdd  faultKind = "route add"
	routeDrop faultKind = "route drop"
	// evacuate takes a data centre out and brings it back.
	evacuate faultKind = "evacuate"
)

// scopeKind says what a fault strikes.
type scopeKind uint8

const (
	onNode scopeKind = iota
	onAllNodes
	onStore
	onWorker
	onConfiguration
)

// scope returns what faults of the kind strike.
func (k faultKind) scope() scopeKind {
	switch k {
	case allKill:
		return onAllNodes
	case storeRefuse, storeLose, storeSlow, storeForget:
		return onStore
	case workerLinkStall, workerLinkOneWay, workerLinkReset, workerLinkDelay, workerBehave, workerCrash, workerLeave:
		return onWorker
	case revoke, routeAdd, routeDrop, evacuate:
		return onConfiguration
	default:
		return onNode
	}
}

// planned reports whether the fault is work that must not cut a request.
func (k faultKind) planned() bool {
	return k == nodeTerm || k == nodeHangup || k.scope() == onConfiguration
}
