package edge

import (
	"time"

	"github.com/go-logr/logr"
)

// contact notes when a dependency is lost and regained; it is used by one goroutine.
type contact struct {
	name   string
	logger logr.Logger
	lost   bool
	since  time.Duration
}

func (co *contact) failed(now time.Duration, err error) {
	if co.lost {
		return
	}
	co.lost = true
	co.since = now
	co.logger.Info("dependency lost", "dependency", co.name, "reason", err.Error())
}

func (co *contact) reached(now time.Duration) {
	if !co.lost {
		return
	}
	co.lost = false
	co.logger.Info("dependency regained", "dependency", co.name, "away", (now - co.since).Seconds())
}
