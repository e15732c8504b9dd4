package rollout

import "azuredyke.dev/azuredyke/decision/rollout"

// Overview is the state of the roll-out of one service as one node knows it, for operators.
type Overview struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Phase   string `json:"phase"`
	Reason  string `json:"reason,omitempty"`
	Decider string `json:"decider,omitempty"`
	// OrderRevision is the revision of the order, and AgeMillis the time since this process saw it.
	OrderRevision  int64    `json:"order_revision"`
	DurationMillis int64    `json:"duration_ms"`
	AgeMillis      int64    `json:"age_ms"`
	OldVersions    []string `json:"old_versions,omitempty"`
	// Stopped is set while the target gets nothing because the decider cannot write.
	Stopped bool `json:"stopped,omitempty"`
	// OldRuns is the number of this node's requests on old endpoints.
	OldRuns int `json:"old_runs"`
	// TargetShare is the share of this process's sends that went to the target.
	TargetShare float64 `json:"target_share"`
	// Counts holds the counts of this process, and Fleet those of all nodes if this one is a relay.
	Counts []OverviewCounts `json:"counts,omitempty"`
	Fleet  []OverviewCounts `json:"fleet,omitempty"`
	// Unconfirmed is the number of nodes that have not confirmed the phase Promoting, if this node is a relay.
	Unconfirmed int `json:"unconfirmed"`
}

// setCounts sets the counts of this process and the target's share of its sends.
func (o *Overview) setCounts(t rollout.Tally) {
	o.Counts = newOverviewCounts(t)
	sends, target := int64(0), int64(0)
	for _, e := range t.Entries {
		sends += e.Sends
		if e.Group == rollout.TargetGroup {
			target += e.Sends
		}
	}
	if sends > 0 {
		o.TargetShare = float64(target) / float64(sends)
	}
}
