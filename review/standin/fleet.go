package main

import (
	"sync"
	"time"
)

// arrival is one request that reached a worker.
type arrival struct {
	worker, id, path string
	at               time.Time
	// continued is set if the request asks to go on from a copy.
	continued bool
	// refused is set if the worker stated that it did not run the request.
	refused bool
}

// workerRun is the work of one worker on one request.
type workerRun struct {
	worker, id string
	continued  bool
	began      time.Time
	// ended is zero while the worker is at work.
	ended time.Time
}

// fleet is what all workers share: the copies of runs' memory and the history. It is safe for concurrent use.
type fleet struct {
	mu       sync.Mutex
	workers  []*worker
	arrivals []arrival
	runs     []*workerRun
	crashes  []time.Time
	// copies maps "address/id" of a copy to the number of events that the copied run had made.
	copies map[string]int
	// unfinished holds the ids of the requests whose latest run was broken off by the worker itself.
	unfinished map[string]bool
}

func newFleet() *fleet { return &fleet{copies: map[string]int{}, unfinished: map[string]bool{}} }

func (f *fleet) addArrival(a arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
}

// beginRun records the begin of a run and returns the function that records its end.
func (f *fleet) beginRun(worker, id string, continued bool) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &workerRun{worker: worker, id: id, continued: continued, began: time.Now()}
	f.runs = append(f.runs, r)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		r.ended = time.Now()
	}
}

// allRuns returns a copy of all runs in order.
func (f *fleet) allRuns() []workerRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []workerRun
	for _, r := range f.runs {
		all = append(all, *r)
	}
	return all
}

func (f *fleet) addCrash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
}

// setCopy makes or updates a copy.
func (f *fleet) setCopy(name string, events int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies[name] = events
}

// takeCopy uses a copy, which is possible once.
func (f *fleet) takeCopy(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.copies[name]
	delete(f.copies, name)
	return ok
}

// dropCopies removes the copies that a worker holds.
func (f *fleet) dropCopies(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.copies {
		if len(name) > len(address) && name[:len(address)+1] == address+"/" {
			delete(f.copies, name)
		}
	}
}

func (f *fleet) setUnfinished(id string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unfinished[id] = on
}

// brokeOff reports whether a worker itself broke off the latest run of a request.
func (f *fleet) brokeOff(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unfinished[id]
}

// arrivalsOf returns the arrivals that match a condition.
func (f *fleet) arrivalsOf(match func(arrival) bool) []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []arrival
	for _, a := range f.arrivals {
		if match(a) {
			found = append(found, a)
		}
	}
	return found
}

// crashTimes returns the times of all crashes in order.
func (f *fleet) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes...)
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	workers := f.workers
	f.mu.Unlock()
	for _, w := range workers {
		w.stop()
	}
}
