// Package roster holds the registered endpoints and keeps them while the store that lists them is unreachable.
//
// A registration expires in the store unless a heartbeat renews it. While the store is unreachable, heartbeats cannot renew anything, so
// the roster keeps registrations that may have expired only for that reason.
package roster
