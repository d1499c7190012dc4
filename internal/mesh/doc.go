// Package mesh connects the instances of the proxy for routed services: instances that reach the store relay calls for peers that do not,
// and peers lend each other tokens and notify each other of dispatched prompts.
package mesh
