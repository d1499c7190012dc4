package runner

import "bytes"

var (
	doneMarker      = []byte("data: [DONE]")
	usageMarker     = []byte(`"usage":{`)
	noChoicesMarker = []byte(`"choices":[]`)
)

// isDone reports whether the event is the last one of a stream.
func isDone(event []byte) bool { return bytes.HasPrefix(event, doneMarker) }

// usageOnly reports whether an event with usage figures holds nothing else, since its list of choices is empty.
func usageOnly(event []byte) bool { return bytes.Contains(event, noChoicesMarker) }
