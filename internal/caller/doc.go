// Package caller serves callers over the OpenAI-compatible HTTP API and relays calls to plain services.
package caller
