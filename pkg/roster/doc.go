// Package roster holds the registered endpoints and keeps them while the store that lists them is unreachable.
//
// A registration expires in the store unless it is renewed. The roster therefore keeps registrations that may have expired
// only because the store could not take their heartbeats.
package roster
