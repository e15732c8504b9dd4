package experiment

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// drainTimeout bounds the wait for requests that are in flight after the last arrival.
	drainTimeout = 2 * time.Minute
	// maxOpenRequests bounds the requests in flight. An arrival beyond the bound is not sent and counts as an error of the
	// load generator.
	maxOpenRequests = 20_000
	// sampleBufferSize is the capacity of the channel from the callers to the recorder.
	sampleBufferSize = 1024
)

// RunLoad sends the requests of a workload to the nodes with the given base URLs and returns the measurements of the
// callers. It calls progress about once per second, unless progress is nil.
func RunLoad(ctx context.Context, urls []string, w Workload, arrivals []Arrival, progress func(Progress)) Result {
	ctx, cancel := context.WithTimeout(ctx, w.Duration+drainTimeout)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: maxOpenRequests, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &caller{client: &http.Client{Transport: transport}, urls: urls, workload: w, start: time.Now()}
	samples := make(chan Sample, sampleBufferSize)
	go func() {
		defer close(samples)
		c.send(ctx, arrivals, samples)
	}()
	return collect(newRecorder(w), c.start, samples, len(arrivals), progress)
}

// send starts each request at its scheduled time and returns after all requests have ended.
func (c *caller) send(ctx context.Context, arrivals []Arrival, samples chan<- Sample) {
	var open sync.WaitGroup
	defer open.Wait()
	openSlots := make(chan struct{}, maxOpenRequests)
	for index, a := range arrivals {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(c.start.Add(a.At))):
		}
		select {
		case openSlots <- struct{}{}:
		default:
			samples <- Sample{Arrival: a, Measured: a.At >= c.workload.Warmup, Reason: "generator_full"}
			continue
		}
		open.Go(func() {
			samples <- c.call(ctx, index, a)
			<-openSlots
		})
	}
}

// collect records samples until their channel is closed and returns the result.
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
