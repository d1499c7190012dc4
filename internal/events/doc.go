// Package events splits a stream of server-sent events into single events.
package events
