// Package soak runs instances as separate processes under random faults and checks what callers and endpoints observe.
package soak
