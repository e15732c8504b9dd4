package workers

import (
	"context"
	"slices"

	"azuredyke.dev/azuredyke/common/mailbox"
)

// mailboxCapacity bounds the queued messages of the task; senders block when the queue is full.
const mailboxCapacity = 256

// Fleet is the task that owns the state of all workers: arrivals, runs, behaviours and copies of memory.
type Fleet struct {
	messages mailbox.Mailbox[func(*state)]
}

// state is the state of all workers. It is owned by the goroutine of Fleet.Run.
type state struct {
	arrivals []Arrival
	runs     []*Run
	// copies maps "address/handle" of a copy of memory to the generation of the run that it belongs to.
	copies map[string]int
	// generations counts the runs that did not continue from a copy.
	generations int
	behaviours  map[string]Behaviour
	moves       int
	leaving     map[string]bool
	// held is the size of the request bodies that each worker with a limited memory holds, and mostHeld the largest that it was.
	held, mostHeld map[string]int64
}

// NewFleet returns a fleet without requests. The caller must call Run.
func NewFleet() *Fleet { return &Fleet{messages: mailbox.New[func(*state)](mailboxCapacity)} }

// Run runs the task that owns the state until ctx is cancelled.
func (f *Fleet) Run(ctx context.Context) {
	s := &state{copies: map[string]int{}, behaviours: map[string]Behaviour{}, leaving: map[string]bool{}, held: map[string]int64{}, mostHeld: map[string]int64{}}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-f.messages.Receive():
			m(s)
		}
	}
}

// ask runs read in the task and returns its result. It returns the zero value if ctx ends first.
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

// SetBehaviour sets the behaviour of a worker.
func (f *Fleet) SetBehaviour(ctx context.Context, worker string, b Behaviour) {
	ask(ctx, f, func(s *state) bool { s.behaviours[worker] = b; return true })
}

// Leave makes a worker report the state "draining" and say in all its answers that it is leaving.
func (f *Fleet) Leave(ctx context.Context, worker string) {
	ask(ctx, f, func(s *state) bool { s.leaving[worker] = true; return true })
}

// Arrivals returns the number of times that a request reached a worker.
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

// Moves returns the number of copies made by calls of /kv-move.
func (f *Fleet) Moves(ctx context.Context) int {
	return ask(ctx, f, func(s *state) int { return s.moves })
}

// MostHeld returns the largest size of the request bodies that a worker with a limited memory has held.
func (f *Fleet) MostHeld(ctx context.Context, worker string) int64 {
	return ask(ctx, f, func(s *state) int64 { return s.mostHeld[worker] })
}

// HasCopy reports whether a copy of memory exists. Its name is "address/handle".
func (f *Fleet) HasCopy(ctx context.Context, name string) bool {
	return ask(ctx, f, func(s *state) bool {
		_, ok := s.copies[name]
		return ok
	})
}
