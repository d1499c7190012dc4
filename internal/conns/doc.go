// Package conns sends HTTP/1.1 requests to endpoints over pooled connections. It sends each request exactly once, on a new connection or on
// an idle one that it has just found open.
package conns
