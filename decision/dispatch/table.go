package dispatch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/placement"
	"azuredyke.dev/azuredyke/decision/prefix"
	"azuredyke.dev/azuredyke/decision/retry"
)

// othersLoadExpiry is the time after which the load of the other nodes no longer counts if it was not reported again.
const othersLoadExpiry = 3 * time.Second

// maxRolloutAge is the age of the copy of the store from which a roll-out that is observed gets nothing. A node counts as out of
// touch after 4 s, and until then its sends count against the bound.
const maxRolloutAge = 3 * time.Second

// Table is the placement state of one node. It is not safe for concurrent use; one task owns it.
type Table struct {
	// nodeStarted is the time when the node was started. The sends of its previous process are unknown, but count against the
	// cold limit.
	nodeStarted time.Time
	params      Params
	nodes       int
	endpoints   map[string]*endpoint
	services    map[string][]*endpoint
	statements  statements
	runs        map[uint64]*run
	budgets     map[string]*retry.WindowBudget
	// limits holds the limits of ordered admission by service.
	limits map[string]*limits
	// usage holds the tokens in flight of the node's own runs by workspace.
	usage map[string]int
	// others is the others' load by endpoint. It also holds endpoints that no snapshot has listed yet.
	others map[string]Load
	// othersUpdatedAt is the time of the last report of the other nodes' load.
	othersUpdatedAt time.Time
	// lastRun is the number of the latest run.
	lastRun uint64
	// ownLoadChanged is set when the node's own load may differ from the last result of OwnLoads.
	ownLoadChanged bool
	// rollouts holds the roll-outs by service. It is empty unless operators have ordered one.
	rollouts map[string]*rolloutShare
	// configured is set once a snapshot with a configuration was applied.
	configured bool
	// rolloutStale is set while the copy of the store is too old to use the target of a roll-out that is observed.
	rolloutStale bool

	// speed is used if endpoints are chosen by their speed.
	speed speedState
	// prompts is used if endpoints are chosen by what they have cached.
	prompts promptCache

	random                                        *rand.Rand
	enginePolicy, strictEnginePolicy, plainPolicy *placement.Policy
	migrationPolicy                               *placement.Policy
	candidates                                    []*placement.Candidate
	eligible                                      []*endpoint
}

// NewTable returns a table without endpoints for a node that was started at nodeStarted.
func NewTable(nodeStarted time.Time, params Params, random *rand.Rand) *Table {
	return &Table{
		nodeStarted: nodeStarted, params: params, nodes: 1, endpoints: map[string]*endpoint{}, services: map[string][]*endpoint{},
		statements: statements{}, runs: map[uint64]*run{}, budgets: map[string]*retry.WindowBudget{}, others: map[string]Load{},
		speed:              newSpeedState(random),
		prompts:            promptCache{indexes: map[string]*prefix.Index{}},
		limits:             map[string]*limits{},
		usage:              map[string]int{},
		random:             random,
		enginePolicy:       placement.NewSharedEnginePolicy(random, false),
		strictEnginePolicy: placement.NewSharedEnginePolicy(random, true),
		plainPolicy:        placement.NewSharedPlainPolicy(random),
		migrationPolicy:    placement.NewMigrationPolicy(random),
	}
}

// SetParams replaces the parameters, except for the length of the retry window, which is fixed when the table is created.
func (t *Table) SetParams(p Params) {
	p.RetryWindow = t.params.RetryWindow
	t.params = p
}

// SetNodes sets the number of nodes that share the limits. The number never decreases, because a disconnected node keeps
// using its share.
func (t *Table) SetNodes(n int) { t.nodes = max(t.nodes, n) }

// SetOthersLoad replaces the others' load, which is the total load of all other nodes.
func (t *Table) SetOthersLoad(now time.Time, loads []Load) {
	t.clearOthersLoad(now)
	t.UpdateOthersLoad(now, loads)
	for _, e := range t.endpoints {
		e.countGiven()
	}
}

// UpdateOthersLoad replaces the others' load on the listed endpoints.
func (t *Table) UpdateOthersLoad(now time.Time, loads []Load) {
	t.othersUpdatedAt = now
	for _, l := range loads {
		t.others[l.Endpoint] = l
		if e := t.endpoints[l.Endpoint]; e != nil {
			t.setOthers(now, e, l)
		}
	}
}

func (t *Table) clearOthersLoad(now time.Time) {
	clear(t.others)
	for _, e := range t.endpoints {
		e.advanceUsage(now)
		e.others = Load{}
	}
}

// ExpireOthersLoad clears the others' load if it was not reported within othersLoadExpiry.
func (t *Table) ExpireOthersLoad(now time.Time) {
	if now.Sub(t.othersUpdatedAt) >= othersLoadExpiry {
		t.clearOthersLoad(now)
	}
}

// OwnLoadsChanged reports whether the node's own load has changed since OwnLoads was last called.
func (t *Table) OwnLoadsChanged() bool { return t.ownLoadChanged }

// OwnLoads returns the load of this node, sorted by endpoint.
func (t *Table) OwnLoads() []Load {
	t.ownLoadChanged = false
	var loads []Load
	for id, e := range t.endpoints {
		if l := e.own; l != (Load{}) {
			l.Endpoint = id
			loads = append(loads, l)
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return loads
}

// RecordLeaving records that an endpoint itself has said that it is leaving, which its entry may not show yet. It reports whether
// that is new.
func (t *Table) RecordLeaving(now time.Time, e *catalog.Endpoint) bool {
	s := t.statementOf(now, e)
	isNew := !s.leaving
	if l := t.limits[e.Service]; isNew && l != nil && !t.listedAsLeaving(e) {
		t.recordDeparture(now, l, e, len(t.services[e.Service]))
	}
	s.leaving = true
	return isNew
}

// RecordPause records that an endpoint wants no requests from this node for some time.
func (t *Table) RecordPause(now time.Time, e *catalog.Endpoint, d time.Duration) {
	t.statementOf(now, e).pause(now, d)
}

// RecordEnd records that the process of an endpoint has ended.
func (t *Table) RecordEnd(now time.Time, e *catalog.Endpoint) {
	if known := t.endpoints[e.ID]; known != nil && known.SameIncarnation(e) {
		known.recordEnd(now)
	}
}

// statementOf returns the statement of an endpoint that says something now.
func (t *Table) statementOf(now time.Time, e *catalog.Endpoint) *statement {
	s := t.knownStatement(e)
	t.statements.keep(now, e, s)
	return s
}

// knownStatement returns the statement of an endpoint.
func (t *Table) knownStatement(e *catalog.Endpoint) *statement {
	if listed := t.endpoints[e.ID]; listed != nil && listed.SameIncarnation(e) {
		return listed.statement
	}
	return t.statements.of(e)
}

// PauseLeft returns the time until the first of the endpoints that a request may use is open again after a pause or a refusal because of
// its limit; 0 if one of them is open or there is none.
func (t *Table) PauseLeft(now time.Time, r *Request) time.Duration {
	left, found := time.Duration(0), false
	share := t.rollouts[r.Service]
	for _, e := range t.services[r.Service] {
		if !r.mayUse(e) || share != nil && !share.allowsRuns(e.Version) {
			continue
		}
		pause := time.Duration(0)
		if until, closed := e.statement.closedUntil(now); closed != "" {
			pause = until.Sub(now)
		}
		if !found || pause < left {
			left, found = pause, true
		}
	}
	return left
}
