// Package verify checks a configuration of routed services before it is sent: mistakes, entries that no request can match, limits that contradict each
// other, and what differs from the version in force.
package verify
