// Package gate serves callers of routed HTTP services: it finds the route and the team, reserves tokens, forwards to an endpoint and passes the answer on.
package gate
