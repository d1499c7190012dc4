// Package spill decides when requests leave the failure domain of an instance, and what that costs. It has no I/O; the time is passed in.
//
// The balancer calls Observe with the loads of all failure domains, and adds Cost to the cost of each endpoint outside the own domain: the round trip, the price
// of the bytes, and a surcharge for requests that should stay. Each other domain has a share of the requests that may leave to it without the surcharge. The
// share follows the gain, the time that a request gains there, in small steps. There is pressure towards a domain if a share leaves to it, or the gain is so large
// that one should.
package spill
