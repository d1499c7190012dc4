// Package edge is one instance in front of routed HTTP services: it follows the store, holds grants and serves callers.
package edge
