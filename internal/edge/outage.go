package edge

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// outageLog logs the start and the end of each outage of a dependency; it is used by one goroutine.
type outageLog struct {
	// name is the dependency's name in the log messages.
	name    string
	logger  logr.Logger
	failing bool
	// since is the start of the current outage.
	since time.Duration
	// era is the era of the dependency at the last successful call that stated it, and offset the one up to which its topic was read.
	era    keyed.Era
	offset int64
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

// recordEra is called after each successful call; it logs that the store has come back from an older copy, and reports whether it has.
func (ol *outageLog) recordEra(era keyed.Era, offset int64) bool {
	restored := era.Differs(ol.era)
	if restored {
		ol.logger.Info("store restored", "dependency", ol.name, "era", era.Number(), "formerEra", ol.era.Number(), "offset", offset, "formerOffset", ol.offset)
	}
	ol.era, ol.offset = era, offset
	return restored
}
