package origin

import (
	"strconv"
	"strings"
)

// labelPrefix begins the labels that name a service; no build begins with it.
const labelPrefix = "in "

// Label returns the text that names the service and the build of an origin in messages and records. Without a service, it is the build alone, as older builds of
// the instances write it.
func (og Origin) Label() string {
	if og.Service == "" {
		return og.Build
	}
	return labelPrefix + strconv.Itoa(len(og.Service)) + ":" + og.Service + og.Build
}

// OfLabel returns the origin of the stream with this key that a label names. The service is empty if the label does not name it.
func OfLabel(key Key, label string) Origin {
	og := Origin{Key: key, Build: label}
	rest, ok := strings.CutPrefix(label, labelPrefix)
	if !ok {
		return og
	}
	text, rest, ok := strings.Cut(rest, ":")
	length, err := strconv.Atoi(text)
	if !ok || err != nil || length <= 0 || length > len(rest) {
		return og
	}
	return Origin{Key: key, Service: rest[:length], Build: rest[length:]}
}
