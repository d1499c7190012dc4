// Package gate is the reverse proxy for callers of routed HTTP services: it finds the route and the team, reserves tokens, forwards the
// request to an endpoint and relays the response.
package gate
