package experiment

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// drainTimeout bounds the wait for requests that still run when the load ends.
	drainTimeout = 2 * time.Minute
	// maxOpenRequests bounds the requests that are open at once; arrivals beyond it count as errors of the generator.
	maxOpenRequests = 20_000
	// sampleCapacity is the number of samples that may wait for the recorder.
	sampleCapacity = 1024
)

// RunLoad sends the requests of a workload to the nodes at the given base URLs and sums up what the callers saw. Progress is
// called about once a second and may be nil.
func RunLoad(ctx context.Context, urls []string, w Workload, arrivals []Arrival, progress func(Progress)) Result {
	ctx, cancel := context.WithTimeout(ctx, w.Duration+drainTimeout)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: maxOpenRequests, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &caller{client: &http.Client{Transport: transport}, urls: urls, workload: w, start: time.Now()}
	samples := make(chan Sample, sampleCapacity)
	go func() {
		defer close(samples)
		c.send(ctx, arrivals, samples)
	}()
	return collect(newRecorder(w), c.start, samples, len(arrivals), progress)
}

// send starts each request at its time and returns when all have ended.
func (c *caller) send(ctx context.Context, arrivals []Arrival, samples chan<- Sample) {
	var open sync.WaitGroup
	defer open.Wait()
	slots := make(chan struct{}, maxOpenRequests)
	for number, a := range arrivals {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(c.start.Add(a.At))):
		}
		select {
		case slots <- struct{}{}:
		default:
			samples <- Sample{Arrival: a, Measured: a.At >= c.workload.Warmup, Reason: "generator_full"}
			continue
		}
		open.Go(func() {
			samples <- c.call(ctx, number, a)
			<-slots
		})
	}
}

// collect sums the samples up until their channel is closed.
func collect(r *recorder, start time.Time, samples <-chan Sample, total int, progress func(Progress)) Result {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	ended := 0
	for {
		select {
		case s, ok := <-samples:
			if !ok {
				return r.finish()
			}
			ended++
			r.add(s)
		case <-ticker.C:
			if progress != nil {
				progress(Progress{Elapsed: time.Since(start), Ended: ended, Total: total})
			}
		}
	}
}
