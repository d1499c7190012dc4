// Package roster holds the registered endpoints and keeps them while the store that lists them is unreachable.
//
// A registration expires in the store unless a heartbeat renews it. While the store is unreachable, heartbeats cannot renew anything. A
// running endpoint can then lose its registration, so the roster keeps registrations that end during an outage or shortly after it.
package roster
