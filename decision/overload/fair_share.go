package overload

import (
	"cmp"
	"math"
	"slices"
)

// FairShare is the max-min fair share of the memory in use: what every workspace may use while requests wait. A workspace that
// needs less gets all that it needs, and the others divide the rest equally.
type FairShare struct {
	level float64
	used  map[string]int
}

// NewFairShare returns the fair share for the usage of all workspaces. Without waiting requests nothing is limited.
func NewFairShare(usage []WorkspaceUsage) FairShare {
	s := FairShare{level: math.Inf(1), used: map[string]int{}}
	capacity, waiting := 0, 0
	for _, u := range usage {
		s.used[u.Workspace] += u.Used
		capacity += u.Used
		waiting += u.Waiting
	}
	if waiting <= 0 {
		return s
	}
	demands := slices.SortedFunc(slices.Values(usage), func(a, b WorkspaceUsage) int {
		return cmp.Compare(a.Used+a.Waiting, b.Used+b.Waiting)
	})
	rest := float64(capacity)
	for i, u := range demands {
		s.level = rest / float64(len(demands)-i)
		if demand := float64(u.Used + u.Waiting); demand <= s.level {
			rest -= demand
		} else {
			break
		}
	}
	return s
}

// Of returns the usage of a workspace relative to its fair share.
func (s FairShare) Of(workspace string) float64 {
	if s.level <= 0 {
		return 0
	}
	return float64(s.used[workspace]) / s.level
}

// Exceeds reports whether a workspace uses more than its fair share.
func (s FairShare) Exceeds(workspace string) bool { return s.Of(workspace) > 1 }
