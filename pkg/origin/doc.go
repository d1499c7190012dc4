// Package origin keeps which build of an endpoint's software began a stream. A stream may only go on at that build, and the instance at which its
// caller resumes it is often not the one that began it. The package does no I/O and takes the time as a value.
package origin
