// Package retry keeps the part of one instance in a fleet-wide allowance for sending requests again.
package retry
