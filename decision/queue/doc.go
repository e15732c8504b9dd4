// Package queue orders waiting requests by priority class, with fair queueing between workspaces by cost within a class,
// promotion of starved requests between classes, deadlines and early refusal. It does no I/O and reads no clock.
package queue
