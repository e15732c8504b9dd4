// Package overload decides which requests may use the engines of a service when memory or the computation of prompts is short, and
// in which order the others wait at the nodes. It contains only decisions: time and state are passed in.
package overload
