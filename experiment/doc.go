// Package experiment generates open-loop load, measures latency, stalls and errors at the callers, and compares placement
// policies with the same seeds. It runs in-process nodes and fake endpoints that communicate over TCP.
//
// Latencies are measured from the scheduled arrival of a request, which avoids coordinated omission: a load generator that
// falls behind its schedule does not hide delays.
package experiment
