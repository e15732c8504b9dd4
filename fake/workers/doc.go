// Package workers is a stand-in for the endpoints of the users' platform: model engines that copy and continue runs, and
// plain services. One task owns the state of all workers; their HTTP handlers reach it by messages.
package workers
