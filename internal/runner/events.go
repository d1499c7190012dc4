package runner

import "bytes"

var (
	doneMarker      = []byte("data: [DONE]")
	usageMarker     = []byte(`"usage":{`)
	noChoicesMarker = []byte(`"choices":[]`)
)

// isDone reports whether the event is the last one of a stream.
func isDone(event []byte) bool { return bytes.HasPrefix(event, doneMarker) }

// usageOnly reports whether a usage event has no choices, so that it holds nothing but the usage figures.
func usageOnly(event []byte) bool { return bytes.Contains(event, noChoicesMarker) }
