// Package keyed follows a durable, compacted topic, of which only the newest record of each key counts.
package keyed
