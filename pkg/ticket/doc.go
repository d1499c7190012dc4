// Package ticket defines change tickets: numbered configuration changes, each with the full new state of every object
// that it changes.
package ticket
