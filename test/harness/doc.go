// Package harness runs nodes as separate processes and the fakes of their dependencies inside the test process. Each
// fake is reached through a network link that can be stalled, delayed or cut.
//
// Only tests import this package. All traffic stays on loopback addresses.
package harness
