package dispatch

import "time"

// Obstacle is the reason why an endpoint may not be used for a request now; empty if it may be used.
type Obstacle string

// Obstacles, in the order in which they are checked.
const (
	Leaving       Obstacle = "leaving"
	DataCentreOut Obstacle = "data_centre_out"
	Excluded      Obstacle = "excluded"
	// Paused means that the endpoint has asked for no requests, RateLimited that this node may send nothing now because of the
	// endpoint's limit on the requests of all nodes, Avoided that an attempt on it failed or was refused recently.
	Paused      Obstacle = "paused"
	RateLimited Obstacle = "rate_limit"
	Avoided     Obstacle = "avoided"
	SlotsTaken  Obstacle = "slots"
	ColdLimit   Obstacle = "cold_limit"
	// PrefillBacklog means that the prompts on the endpoint would make this request or a more urgent one late.
	PrefillBacklog Obstacle = "prefill_backlog"
	// MemoryTaken means that the memory of the request does not fit, MemoryReserved that it fits only into memory that is kept
	// for runs of departing engines, for short requests or for more urgent ones.
	MemoryTaken    Obstacle = "memory"
	MemoryReserved Obstacle = "reserve"
)

// isLasting reports whether the obstacle lasts for as long as the request.
func (o Obstacle) isLasting() bool { return o == Leaving || o == DataCentreOut || o == Excluded }

// obstacle updates the candidate of an endpoint and returns what prevents its use for a request, before the policies compare it.
func (t *Table) obstacle(now time.Time, r *Request, e *endpoint) Obstacle {
	if o := r.lastingObstacle(e); o != "" {
		return o
	}
	if _, closed := e.statement.closedUntil(now); closed != "" {
		return closed
	}
	if r.AvoidRateLimited && e.statement.rateLimit.limited {
		return RateLimited
	}
	if !e.refreshCandidate(now, t.nearDataCentre(r)) {
		if now.Before(e.avoidUntil) {
			return Avoided
		}
		return SlotsTaken
	}
	if !e.coldLimitAdmits(now, t.nodeStarted, t.params, t.nodes) {
		return ColdLimit
	}
	if r.SpareMemoryOnly {
		e.candidate.Capacity *= maxCopyMemoryShare
	}
	if t.params.OrderedAdmission {
		return t.limit(now, r, e)
	}
	return ""
}
