package main

import (
	"sync"
	"time"
)

// arrival is one request that reached a worker.
type arrival struct {
	worker, request, path string
	at                    time.Time
	status                int
}

// engineRun is the work of one engine on one request.
type engineRun struct {
	worker, request string
	// from is Kv-From; empty for a run that reads the whole prompt.
	from string
	// hadCopy is set if the engine held the copy that from names.
	hadCopy      bool
	began, ended time.Time
	// events is the number of the last event, of which the caller has those up to the connection's end.
	events int
	// stop is closed when a final move stops the run.
	stop chan struct{}
}

// fleet holds what the workers did. It is safe for concurrent use.
type fleet struct {
	mu       sync.Mutex
	record   *record
	arrivals []arrival
	runs     []*engineRun
	// copies maps "address/handle" to the events that the copied memory includes, by the address of the worker that holds the copy.
	copies map[string]map[string]int
}

func newFleet(r *record) *fleet { return &fleet{record: r, copies: map[string]map[string]int{}} }

func (f *fleet) arrive(a arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
}

// begin records the begin of a run.
func (f *fleet) begin(worker, request, from string, first int, hadCopy bool) *engineRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &engineRun{worker: worker, request: request, from: from, hadCopy: hadCopy, began: time.Now(), events: first - 1, stop: make(chan struct{})}
	f.runs = append(f.runs, r)
	f.record.log("engine %s runs %s from event %d, Kv-From %q, had that copy: %t", worker, request, first, from, hadCopy)
	return r
}

func (f *fleet) end(r *engineRun, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.ended.IsZero() {
		r.ended = time.Now()
		f.record.log("engine %s ends %s after event %d: %s", r.worker, r.request, r.events, how)
	}
}

// advance records the next event of a run, and copies its memory to the backup, if there is one.
func (f *fleet) advance(r *engineRun, backup string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.events++
	if backup != "" {
		f.putCopy(backup, backup+"/"+r.request, r.events)
	}
	return r.events
}

// putCopy must be called with the lock held.
func (f *fleet) putCopy(holder, name string, events int) {
	if f.copies[holder] == nil {
		f.copies[holder] = map[string]int{}
	}
	f.copies[holder][name] = events
}

// takeCopy uses a copy that a worker holds, and reports whether there was one.
func (f *fleet) takeCopy(holder, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.copies[holder][name]
	delete(f.copies[holder], name)
	return ok
}

// dropCopy frees a copy at every worker.
func (f *fleet) dropCopy(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, held := range f.copies {
		delete(held, name)
	}
}

// find returns the run of a request at a worker, and stops it if stop is set; nil if there is none.
func (f *fleet) find(worker, request string, stop bool) *engineRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.worker != worker || r.request != request || !r.ended.IsZero() {
			continue
		}
		if stop {
			r.ended = time.Now()
			close(r.stop)
			f.record.log("engine %s stops %s after event %d for a final move", worker, request, r.events)
		}
		return r
	}
	return nil
}

// events returns the number of events that a run has made.
func (f *fleet) events(r *engineRun) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.events
}

// finishMove records the copy that a move has made.
func (f *fleet) finishMove(r *engineRun, target, name string, events int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putCopy(target, name, events)
	f.record.log("engine %s has copied the memory of %s to %s in %v", r.worker, r.request, target, took.Round(time.Millisecond))
}

// snapshot returns copies of the runs and the arrivals.
func (f *fleet) snapshot() ([]engineRun, []arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []engineRun
	for _, r := range f.runs {
		runs = append(runs, *r)
	}
	return runs, append([]arrival(nil), f.arrivals...)
}
