// Package matrix holds the fault matrix: whole instances in one process against stand-ins, under every fault at every step.
//
// Time is virtual: the tests run in a testing/synctest bubble, over a network in memory.
package matrix
