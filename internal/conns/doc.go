// Package conns sends HTTP/1.1 requests to endpoints over pooled connections. It never sends a request twice, and checks that an idle
// connection is still open before it uses it.
package conns
