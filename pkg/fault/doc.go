// Package fault defines the errors of requests. Each error has a verdict, which says whether an endpoint may have run the request.
package fault
