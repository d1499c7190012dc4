// Package conns sends requests to endpoints over kept HTTP/1.1 connections: each request once, on a connection that was seen alive.
package conns
