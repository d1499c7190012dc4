// Package metric counts the requests of an instance for its metrics page.
package metric
