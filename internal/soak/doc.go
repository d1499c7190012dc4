// Package soak runs the program as separate processes under random faults and checks what callers and endpoints see.
package soak
