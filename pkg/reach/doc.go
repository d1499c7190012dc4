// Package reach tells whether an instance reaches endpoints over its own link, by what happens on its connections to all of them.
//
// A single endpoint that can't be reached says little about the link; several at once, while nothing comes from any other, do. The package does no I/O;
// time comes in as a monotonic duration.
package reach
