// Package harness starts real nodes as processes, and the stand-ins of everything around them inside the test process,
// with a link that can be stalled, delayed or cut in front of each.
//
// Only tests import it. All traffic stays on loopback addresses.
package harness
