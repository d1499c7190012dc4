// Package space bounds the memory that buffered requests and responses take together.
package space
