package runner

import "bytes"

var (
	doneMarker      = []byte("data: [DONE]")
	usageMarker     = []byte(`"usage":{`)
	noChoicesMarker = []byte(`"choices":[]`)
)

func isDone(event []byte) bool { return bytes.HasPrefix(event, doneMarker) }

// usageOnly reports whether the event carries nothing but the usage figures.
func usageOnly(event []byte) bool { return bytes.Contains(event, noChoicesMarker) }
