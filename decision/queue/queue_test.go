package queue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// newItem returns an item whose deadline is one hour after start.
func newItem(ticket uint64, workspace string, priority int, cost float64) Item[int] {
	return Item[int]{
		Ticket: ticket, Workspace: workspace, Priority: priority, Cost: cost, Deadline: start.Add(time.Hour),
	}
}

// takeItems removes up to n items in the order of service and returns them.
func takeItems(q *Queue[int], now time.Time, n int) []Item[int] {
	var taken []Item[int]
	q.Scan(now, func(i *Item[int]) ScanAction {
		if len(taken) == n {
			return Stop
		}
		taken = append(taken, *i)
		return Take
	})
	return taken
}

// Guards against items of a low priority that are served before items of a higher one.
func TestHigherPriorityIsServedFirst(t *testing.T) {
	q := New[int](Params{Max: 10})
	for ticket, priority := range []int{0, 9, 5} {
		assert.Assert(t, q.Push(start, newItem(uint64(ticket), "w", priority, 1)) == nil)
	}
	var order []int
	for _, i := range takeItems(q, start, 3) {
		order = append(order, i.Priority)
	}
	assert.DeepEqual(t, order, []int{9, 5, 0})
	assert.Equal(t, q.Len(), 0)
}

// Guards against a workspace with many items that is served more than its share, and against shares that count requests instead
// of tokens.
func TestWorkspacesShareByTokensAndWeight(t *testing.T) {
	q := New[int](Params{Max: 10_000})
	ticket := uint64(0)
	push := func(workspace string, n int, cost, weight float64) {
		for range n {
			ticket++
			i := newItem(ticket, workspace, 5, cost)
			i.Weight = weight
			assert.Assert(t, q.Push(start, i) == nil)
		}
	}
	push("flood", 3000, 100, 1)
	push("long", 300, 1000, 1)
	push("double", 3000, 100, 2)
	tokens := map[string]float64{}
	for _, i := range takeItems(q, start, 1000) {
		tokens[i.Workspace] += i.Cost
	}
	assert.Assert(t, tokens["flood"] > 0.9*tokens["long"] && tokens["flood"] < 1.1*tokens["long"], "%v", tokens)
	assert.Assert(t, tokens["double"] > 1.8*tokens["flood"] && tokens["double"] < 2.2*tokens["flood"], "%v", tokens)
}

// Guards against a workspace that accumulates credit while it is idle and then blocks the others.
func TestIdleWorkspaceGetsNoCredit(t *testing.T) {
	q := New[int](Params{Max: 1000})
	for ticket := range uint64(500) {
		assert.Assert(t, q.Push(start, newItem(ticket, "steady", 5, 10)) == nil)
	}
	takeItems(q, start, 300)
	for ticket := range uint64(100) {
		assert.Assert(t, q.Push(start, newItem(1000+ticket, "late", 5, 10)) == nil)
	}
	steady := 0
	for _, i := range takeItems(q, start, 100) {
		if i.Workspace == "steady" {
			steady++
		}
	}
	assert.Assert(t, steady >= 49 && steady <= 51, "%d", steady)
}

// Guards against an expensive item of low priority that starves behind a steady flow of items of a higher priority.
func TestLowPriorityItemDoesNotStarve(t *testing.T) {
	q := New[int](Params{Max: 1000, PromotionInterval: time.Second})
	assert.Assert(t, q.Push(start, newItem(0, "drafts", 0, 10_000)) == nil)
	ticket := uint64(1)
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		for range 3 {
			assert.Assert(t, q.Push(now, newItem(ticket, "triage", 9, 10)) == nil)
			ticket++
		}
		for _, i := range takeItems(q, now, 3) {
			if i.Ticket == 0 {
				return
			}
		}
	}
	t.Fatal("the old item was not served within a minute")
}

// Guards against the promotion of old items of a workspace that is served its share, which would overtake other workspaces.
func TestServedWorkspaceIsNotPromoted(t *testing.T) {
	q := New[int](Params{Max: 1000, PromotionInterval: time.Second})
	now := start
	for ticket := range uint64(600) {
		assert.Assert(t, q.Push(now, newItem(ticket, fmt.Sprint("w", ticket%2), 5, 10)) == nil)
	}
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		takeItems(q, now, 1)
	}
	assert.Equal(t, q.classes[5].length, 400)
}

// Guards against an item that cannot start and blocks items that can, in its own workspace and in others.
func TestSkippedItemsDoNotBlockOthers(t *testing.T) {
	q := New[int](Params{Max: 10})
	for ticket := range uint64(4) {
		assert.Assert(t, q.Push(start, newItem(ticket, fmt.Sprint("w", ticket%2), 5, 10)) == nil)
	}
	var taken []uint64
	q.Scan(start, func(i *Item[int]) ScanAction {
		if i.Ticket == 0 {
			return Skip
		}
		taken = append(taken, i.Ticket)
		return Take
	})
	assert.Equal(t, len(taken), 3)
	assert.Equal(t, q.Len(), 1)
}

// Guards against a queue that grows without limit, and against items that wait past their deadline.
func TestLimitAndDeadline(t *testing.T) {
	q := New[int](Params{Max: 2})
	late := newItem(1, "w", 5, 1)
	late.Deadline = start.Add(time.Second)
	assert.Assert(t, q.Push(start, late) == nil)
	assert.Assert(t, q.Push(start, newItem(2, "w", 5, 1)) == nil)
	refused := q.Push(start, newItem(3, "w", 5, 1))
	assert.Assert(t, refused != nil && refused.Full)
	deadline, ok := q.NextDeadline()
	assert.Assert(t, ok)
	assert.Equal(t, deadline, late.Deadline)
	assert.Equal(t, len(q.RemoveExpired(start.Add(time.Second-1))), 0)
	expired := q.RemoveExpired(start.Add(time.Second))
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].Ticket, uint64(1))
	assert.Equal(t, len(takeItems(q, start, 5)), 1)
}

// Guards against an item that waits until its deadline although the predicted wait exceeds it, and against the refusal of an
// item because another workspace has many waiting items.
func TestItemPredictedToMissDeadlineIsRefused(t *testing.T) {
	q := New[int](Params{Max: 10_000})
	now := start
	for ticket := range uint64(400) {
		assert.Assert(t, q.Push(now, newItem(ticket, "flood", 5, 10)) == nil)
	}
	for range 40 { // 10 items per second.
		now = now.Add(100 * time.Millisecond)
		takeItems(q, now, 1)
	}
	next := func(ticket uint64, workspace string, wait time.Duration) *Refusal {
		i := newItem(ticket, workspace, 5, 10)
		i.Deadline = now.Add(wait)
		return q.Push(now, i)
	}
	refused := next(1000, "flood", 10*time.Second)
	assert.Assert(t, refused != nil && !refused.Full)
	assert.Assert(t, refused.RetryAfter > 20*time.Second && refused.RetryAfter <= 30*time.Second, "%v", refused.RetryAfter)
	assert.Assert(t, next(1001, "flood", time.Minute) == nil)
	assert.Assert(t, next(1002, "small", time.Second) == nil)
}

// Guards against refusals by a rate that was measured while nothing waited. Such a rate is that of the arrivals.
func TestRateIgnoresIdleTime(t *testing.T) {
	q := New[int](Params{Max: 10_000})
	now := start
	for ticket := range uint64(60) { // One request every 2 s, served at once.
		now = now.Add(2 * time.Second)
		assert.Assert(t, q.Push(now, newItem(ticket, "w", 5, 10)) == nil)
		takeItems(q, now, 1)
	}
	for ticket := range uint64(20) {
		i := newItem(100+ticket, "w", 5, 10)
		i.Deadline = now.Add(5 * time.Second)
		assert.Assert(t, q.Push(now, i) == nil)
	}
}

// Guards against items that are lost or removed twice in any sequence of operations, and against classes that are inconsistent
// with the index of tickets.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Params{Max: 50, PromotionInterval: time.Second})
		now, ticket := start, uint64(0)
		inside := map[uint64]bool{}
		leave := func(id uint64) {
			if !inside[id] {
				t.Fatalf("item %d left twice", id)
			}
			delete(inside, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				ticket++
				i := newItem(ticket, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					rapid.IntRange(-1, 10).Draw(t, "priority"), rapid.Float64Range(0, 1000).Draw(t, "cost"))
				i.Deadline = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Second)
				if q.Push(now, i) == nil {
					inside[ticket] = true
				}
			},
			"scan": func(t *rapid.T) {
				q.Scan(now, func(i *Item[int]) ScanAction {
					action := rapid.SampledFrom([]ScanAction{Skip, Skip, Take, Drop, Stop}).Draw(t, "outcome")
					if action == Take || action == Drop {
						leave(i.Ticket)
					}
					return action
				})
			},
			"remove": func(t *rapid.T) {
				id := rapid.Uint64Range(0, ticket).Draw(t, "ticket")
				if q.Remove(id) {
					leave(id)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				for _, i := range q.RemoveExpired(now) {
					leave(i.Ticket)
				}
			},
			"": func(t *rapid.T) {
				length := 0
				for c := range q.classes {
					length += q.classes[c].length
					inFlows := 0
					for _, f := range q.classes[c].flows {
						inFlows += len(f.items)
					}
					if inFlows != q.classes[c].length {
						t.Fatalf("class %d has %d items but counts %d", c, inFlows, q.classes[c].length)
					}
				}
				if q.Len() != len(inside) || length != len(inside) {
					t.Fatalf("%d items inside, %d in the index, %d in classes", len(inside), q.Len(), length)
				}
			},
		})
	})
}

func BenchmarkScanOfSkippedItems(b *testing.B) {
	q := New[int](Params{Max: 2048})
	for ticket := range uint64(2048) {
		q.Push(start, newItem(ticket, fmt.Sprint("w", ticket%40), int(ticket%10), 10))
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Scan(start, func(*Item[int]) ScanAction { return Skip })
	}
}
