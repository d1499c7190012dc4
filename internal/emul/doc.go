// Package emul plays loads on emulated model runners in virtual time, with the placement that instances use and with baselines.
//
// A runner batches continuously: each step reads one chunk of a prompt and makes one token for every running request. What the package
// leaves out is said in docs/operate/lab.md.
package emul
