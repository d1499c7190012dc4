// Package place decides which endpoint a request goes to, or that none can serve it in time.
//
// A decision depends only on the request, the time and the state of the Balancer, which holds what this instance knows of the endpoints.
//
// A request to a model has a prompt, which the endpoint prefills before the first event of its response. A plain service runs no model: its
// requests have no prompt, and the complete response takes the place of the first event.
package place
