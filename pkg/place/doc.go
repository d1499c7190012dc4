// Package place decides which endpoint a request goes to, or that none can serve it in time.
//
// A decision depends only on the request, the time and the state of the Balancer, which holds what this instance knows of the endpoints.
package place
