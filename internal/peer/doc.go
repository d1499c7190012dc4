// Package peer connects the instances: they exchange heartbeats, and relay calls of the log for those that cannot reach it.
package peer
