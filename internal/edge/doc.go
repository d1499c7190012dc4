// Package edge runs one instance of the reverse proxy for routed HTTP services: it reads configuration and registrations from the store,
// holds its share of the teams' prepaid tokens and serves callers.
package edge
