// Package quarantine decides which requests crash the endpoints that run them. It has no I/O and no clock.
//
// When an endpoint crashes, every request that it ran becomes a suspect, since nothing tells which one was the cause. A
// suspect runs at most once more, alone on its endpoint, so that a second crash proves its guilt and its completion its
// innocence. A proven request is refused for a time. A crash of an endpoint that ran one request alone proves it at once
// only if the request was a suspect before; otherwise the endpoint may have died for reasons of its own.
package quarantine
