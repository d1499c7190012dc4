// Package plat holds the clients of the platform's services: the append-only log and the instance list.
package plat
