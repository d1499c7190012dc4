// Package blame finds what the requests that crash endpoints have in common, so that they can be refused while requests that merely ran
// beside them are served. It does no I/O and takes the time as a value.
package blame
