// Package fakes implements in-process stand-ins for the platform, the model runners, the plain services (services without model runners) and
// the network between them.
package fakes
