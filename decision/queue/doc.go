// Package queue orders waiting requests: priority classes, fairness between workspaces by cost within a class, ageing
// across classes, deadlines and early refusal. It has no I/O and no clock.
package queue
