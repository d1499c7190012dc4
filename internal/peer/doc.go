// Package peer connects the instances: they exchange heartbeats, and those that reach the log relay calls to it for those that do not.
package peer
