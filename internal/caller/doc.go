// Package caller serves callers over the OpenAI-compatible HTTP API. It also relays calls to plain services, which are all services other
// than models.
package caller
