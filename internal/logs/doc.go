// Package logs writes structured log lines without ever blocking the code that logs.
package logs
