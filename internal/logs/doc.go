// Package logs writes structured log lines without ever blocking the writer of a line.
package logs
