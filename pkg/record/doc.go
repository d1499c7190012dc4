// Package record defines the entries and records of the log and their canonical, versioned encoding.
package record
