// Package matrix tests complete instances, in one process and against stand-ins, under every fault at every step of a request.
//
// Time is virtual: the tests run in a testing/synctest bubble, over an in-memory network.
package matrix
