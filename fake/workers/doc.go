// Package workers is a fake of the endpoints of the users' platform for tests: model engines that copy and continue
// runs, and plain services. One task owns the state of all workers; the HTTP handlers access it by messages.
package workers
