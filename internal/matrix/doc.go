// Package matrix tests complete instances under every combination of a fault and a step of a request. The instances run in one process,
// against stand-ins for the platform and the endpoints.
//
// Time is virtual: the tests run in a testing/synctest bubble, over an in-memory network.
package matrix
