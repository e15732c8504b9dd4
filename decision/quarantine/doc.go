// Package quarantine identifies requests that crash the endpoints that run them. It has no I/O and no clock.
//
// When an endpoint crashes, every request that it ran becomes a suspect, since the cause cannot be attributed to one of
// them. A suspect runs at most once more, alone on its endpoint: a second crash quarantines it, and its completion clears
// it. A quarantined request is refused for a limited time. The crash of an endpoint that ran a single request does not
// quarantine the request at once, unless the request was a suspect before, since the crash may have had another cause.
package quarantine
