package edge

import (
	"time"

	"github.com/go-logr/logr"
)

// outageLog logs the start and the end of each outage of a dependency; it is used by one goroutine.
type outageLog struct {
	// name is the dependency's name in the log messages.
	name    string
	logger  logr.Logger
	failing bool
	// since is the start of the current outage.
	since time.Duration
}

// recordFailure is called after each failed call; it logs the first one of an outage.
func (ol *outageLog) recordFailure(now time.Duration, err error) {
	if ol.failing {
		return
	}
	ol.failing = true
	ol.since = now
	ol.logger.Info("dependency lost", "dependency", ol.name, "reason", err.Error())
}

// recordSuccess is called after each successful call; it logs the first one after an outage.
func (ol *outageLog) recordSuccess(now time.Duration) {
	if !ol.failing {
		return
	}
	ol.failing = false
	ol.logger.Info("dependency regained", "dependency", ol.name, "away", (now - ol.since).Seconds())
}
