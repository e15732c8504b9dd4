package rollout

import "azuredyke.dev/azuredyke/decision/rollout"

// OverviewCounts holds the counts of one group on one route, for operators.
type OverviewCounts struct {
	Group    string `json:"group"`
	Route    string `json:"route"`
	Sends    int64  `json:"sends"`
	Answers  int64  `json:"answers"`
	Failures int64  `json:"failures"`
}

func newOverviewCounts(t rollout.Tally) []OverviewCounts {
	names := map[rollout.Group]string{rollout.OtherGroup: "other", rollout.OldGroup: "old", rollout.TargetGroup: "target"}
	var counts []OverviewCounts
	for _, e := range t.Entries {
		counts = append(counts, OverviewCounts{Group: names[e.Group], Route: e.Route, Sends: e.Sends, Answers: e.Answers, Failures: e.Failures})
	}
	return counts
}
