// Package engine takes a request through admission, reservation, dispatch, retry and settlement on one instance.
package engine
