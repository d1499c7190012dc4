// Package keyed follows a durable topic in which the newest record of each key counts.
package keyed
