// Package emul simulates load on model runners in virtual time. It compares the placement that the router's instances use with baseline
// policies and with an oracle.
//
// A runner uses continuous batching: each step prefills one chunk of a prompt and generates one token for every running request.
// docs/operate/lab.md lists what the model leaves out.
package emul
