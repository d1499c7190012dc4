// Package keyed follows a durable, compacted topic, in which each record replaces the earlier records of its key.
package keyed
