// Package spill decides when requests leave the failure domain of an instance, and what that costs. It has no I/O; the time is passed in.
package spill
