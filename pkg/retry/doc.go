// Package retry keeps one instance's share of a fleet-wide retry budget.
package retry
