package runner

import "bytes"

var (
	eventDone     = []byte("data: [DONE]")
	eventUsage    = []byte(`"usage":{`)
	eventNoChoice = []byte(`"choices":[]`)
)

func isDone(event []byte) bool { return bytes.HasPrefix(event, eventDone) }

// usageOnly reports whether the event carries nothing but the usage figures.
func usageOnly(event []byte) bool { return bytes.Contains(event, eventNoChoice) }
