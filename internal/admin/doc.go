// Package admin serves the operators' HTTP API of an instance: health, readiness, status, audit trail and metrics.
package admin
