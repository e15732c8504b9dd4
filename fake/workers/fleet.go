package workers

import (
	"context"
	"slices"

	"azuredyke.dev/azuredyke/common/mailbox"
)

// capacity bounds the waiting messages; senders wait for room.
const capacity = 256

// Fleet is the task that owns what all workers have run and which copies of memory exist.
type Fleet struct {
	messages mailbox.Mailbox[func(*state)]
}

// state belongs to the task.
type state struct {
	arrivals []Arrival
	runs     []*Run
	// copies maps address and handle to the generation of the run whose memory is there.
	copies map[string]int
	// generations counts the fresh starts.
	generations int
	behaviours  map[string]Behaviour
	moves       int
	leaving     map[string]bool
}

// NewFleet returns a fleet whose task must be run.
func NewFleet() *Fleet { return &Fleet{messages: mailbox.New[func(*state)](capacity)} }

// Run owns the state until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	s := &state{copies: map[string]int{}, behaviours: map[string]Behaviour{}, leaving: map[string]bool{}}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-f.messages.Receive():
			m(s)
		}
	}
}

// ask runs a function in the task and returns its result; the zero value once the task has ended.
func ask[R any](ctx context.Context, f *Fleet, read func(*state) R) R {
	r, err := mailbox.Call(ctx, f.messages, func(reply chan<- R) func(*state) {
		return func(s *state) { reply <- read(s) }
	})
	if err != nil {
		var none R
		return none
	}
	return r
}

// Behave sets how a worker answers from now on.
func (f *Fleet) Behave(ctx context.Context, worker string, b Behaviour) {
	ask(ctx, f, func(s *state) bool { s.behaviours[worker] = b; return true })
}

// Leave lets a worker say in its report that it leaves.
func (f *Fleet) Leave(ctx context.Context, worker string) {
	ask(ctx, f, func(s *state) bool { s.leaving[worker] = true; return true })
}

// Arrivals returns how often a request reached any worker.
func (f *Fleet) Arrivals(ctx context.Context, request string) int {
	return ask(ctx, f, func(s *state) int {
		count := 0
		for _, a := range s.arrivals {
			if a.Request == request {
				count++
			}
		}
		return count
	})
}

// History returns all arrivals and runs in order.
func (f *Fleet) History(ctx context.Context) History {
	return ask(ctx, f, func(s *state) History {
		h := History{Arrivals: slices.Clone(s.arrivals)}
		for _, r := range s.runs {
			h.Runs = append(h.Runs, *r)
		}
		return h
	})
}

// Runs returns the runs of a request in order.
func (f *Fleet) Runs(ctx context.Context, request string) []Run {
	return ask(ctx, f, func(s *state) []Run {
		var runs []Run
		for _, r := range s.runs {
			if r.Request == request {
				runs = append(runs, *r)
			}
		}
		return slices.Clone(runs)
	})
}

// Moves returns the number of copies that were ordered.
func (f *Fleet) Moves(ctx context.Context) int {
	return ask(ctx, f, func(s *state) int { return s.moves })
}

// HasCopy reports whether a copy of memory exists, by address and handle.
func (f *Fleet) HasCopy(ctx context.Context, name string) bool {
	return ask(ctx, f, func(s *state) bool {
		_, ok := s.copies[name]
		return ok
	})
}
