// Package daemon runs one instance: it joins the log, serves callers, operators and peers, and drains at shutdown.
package daemon
