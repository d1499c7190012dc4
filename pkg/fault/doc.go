// Package fault defines errors of requests; each has a verdict that says whether an endpoint may have run the request.
package fault
