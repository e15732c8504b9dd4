// Package speed estimates how fast endpoints work, from measured times and from what endpoints say. It addresses endpoints of
// different or changing speed: a stream on an engine that takes 2.4 times as long for each step has pauses that its caller sees.
//
// Times are compared with what the load explains: a regression over all measurements of a service gives the usual time at a
// number of requests in flight, and the ratio of a measured time to the usual one is the slowdown of the endpoint. Before a
// measurement enters the regression, it is divided by the slowdown known so far. This keeps the usual time the same for nodes that
// use only slow or only fast endpoints, since the slowdown includes what the other nodes measured.
package speed
