// Package roster is the directory of endpoints: what is registered, what leaves, and what lapsed only because the store was away.
package roster
