// Package ticket defines change tickets: numbered configuration changes. A ticket contains the complete new state of every
// object that it changes.
package ticket
