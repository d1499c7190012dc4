// Package place decides which endpoint a request goes to, or that none can answer it in time.
//
// A decision is a function of the board, the request and the time; the board is what this instance knows of the endpoints.
package place
