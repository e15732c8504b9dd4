package overload

import (
	"cmp"
	"slices"
	"strings"
)

// maxReportedWorkspaces bounds the workspaces in one notice. Those with the largest usage decide the fair share; the others are below it.
const maxReportedWorkspaces = 16

// Pressure is what waits at a node or at several, and what the workspaces use while something waits.
type Pressure struct {
	Waiting []WaitingClass `cbor:"1,keyasint,omitempty"`
	// Usage is only reported at intervals; nil stands for no news.
	Usage []WorkspaceUsage `cbor:"2,keyasint,omitempty"`
}

// IsZero reports whether nothing waits.
func (p Pressure) IsZero() bool { return len(p.Waiting) == 0 }

// AddWaiting adds a waiting request to p.
func (p *Pressure) AddWaiting(shape Shape) {
	c := WaitingClass{Service: shape.Service, Rank: shape.Rank, Long: shape.Long}
	i, found := slices.BinarySearchFunc(p.Waiting, c, compareClasses)
	if !found {
		p.Waiting = slices.Insert(p.Waiting, i, c)
	}
	p.Waiting[i].Demand.Add(shape.Tokens, shape.PromptTokens)
}

// Add returns the sum of p and o.
func (p Pressure) Add(o Pressure) Pressure {
	return p.combine(o, func(a *Demand, b Demand) { a.Merge(b) }, 1)
}

// Without returns p less o, which was added to it.
func (p Pressure) Without(o Pressure) Pressure {
	return p.combine(o, func(a *Demand, b Demand) { *a = a.without(b) }, -1)
}

func (p Pressure) combine(o Pressure, add func(a *Demand, b Demand), sign int) Pressure {
	sum := Pressure{Waiting: slices.Clone(p.Waiting), Usage: slices.Clone(p.Usage)}
	for _, c := range o.Waiting {
		i, found := slices.BinarySearchFunc(sum.Waiting, c, compareClasses)
		if !found {
			sum.Waiting = slices.Insert(sum.Waiting, i, WaitingClass{Service: c.Service, Rank: c.Rank, Long: c.Long})
		}
		add(&sum.Waiting[i].Demand, c.Demand)
	}
	sum.Waiting = slices.DeleteFunc(sum.Waiting, func(c WaitingClass) bool { return c.Demand.Requests <= 0 })
	for _, u := range o.Usage {
		i, found := slices.BinarySearchFunc(sum.Usage, u, compareWorkspaces)
		if !found {
			sum.Usage = slices.Insert(sum.Usage, i, WorkspaceUsage{Workspace: u.Workspace})
		}
		sum.Usage[i].Used += sign * u.Used
		sum.Usage[i].Waiting += sign * u.Waiting
	}
	sum.Usage = slices.DeleteFunc(sum.Usage, func(u WorkspaceUsage) bool { return u.Used <= 0 && u.Waiting <= 0 })
	return sum
}

// Limited returns p with the workspaces of the largest usage only.
func (p Pressure) Limited() Pressure {
	if len(p.Usage) <= maxReportedWorkspaces {
		return p
	}
	largest := slices.SortedStableFunc(slices.Values(p.Usage), func(a, b WorkspaceUsage) int {
		return cmp.Compare(b.Used+b.Waiting, a.Used+a.Waiting)
	})[:maxReportedWorkspaces]
	slices.SortFunc(largest, compareWorkspaces)
	return Pressure{Waiting: p.Waiting, Usage: largest}
}

// MoreUrgent adds the demand for a service for which a request of the given rank leaves room to m.
func (p Pressure) MoreUrgent(m *MoreUrgent, service string, rank Rank) {
	p.addDemand(m, service, rank.LeavesRoomFor)
}

// NotLessUrgent adds the demand for a service of the requests that don't have a higher rank to m.
func (p Pressure) NotLessUrgent(m *MoreUrgent, service string, rank Rank) {
	p.addDemand(m, service, func(o Rank) bool { return o <= rank })
}

func (p Pressure) addDemand(m *MoreUrgent, service string, counts func(Rank) bool) {
	for _, c := range p.Waiting {
		if c.Service == service && counts(c.Rank) {
			m.Add(c)
		}
	}
}

// Requests returns the number of requests that wait for a service and don't have a higher rank.
func (p Pressure) Requests(service string, rank Rank) int {
	n := 0
	for _, c := range p.Waiting {
		if c.Service == service && c.Rank <= rank {
			n += c.Demand.Requests
		}
	}
	return n
}

func compareClasses(a, b WaitingClass) int {
	order := cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	switch {
	case order != 0 || a.Long == b.Long:
		return order
	case a.Long:
		return 1
	default:
		return -1
	}
}

func compareWorkspaces(a, b WorkspaceUsage) int { return strings.Compare(a.Workspace, b.Workspace) }

// SortUsage sorts usage as Pressure holds it.
func SortUsage(usage []WorkspaceUsage) []WorkspaceUsage {
	slices.SortFunc(usage, compareWorkspaces)
	return usage
}
