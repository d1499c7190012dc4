// Package emul simulates loads on model runners in virtual time, with the placement that instances use and with baseline policies.
//
// A runner uses continuous batching: each step prefills one chunk of a prompt and generates one token for every running request.
// docs/operate/lab.md lists what the model leaves out.
package emul
