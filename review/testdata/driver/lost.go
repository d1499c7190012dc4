package main

import (
	"fmt"
	"time"
)

// countLost counts the requests request-N that ran, and whose channels ended without an answer before the time limit.
func (fl *fleet) countLost(answers []answer, term time.Time, limit time.Duration) int {
	runs := map[string]run{}
	for _, ru := range fl.runners {
		for _, one := range ru.list() {
			runs[one.id] = one
		}
	}
	lost := 0
	for ix, an := range answers {
		id := fmt.Sprintf("request-%d", ix)
		fl.record.addAt(an.sentAt, "requester sends %s on channel %d, %.3f s after the SIGTERM", id, ix, an.sentAt.Sub(term).Seconds())
		fl.record.addAt(an.at, "requester got for %s: %s", id, an)
		if one, ran := runs[id]; an.err != nil && ran && an.at.Sub(an.sentAt) < limit {
			lost++
			fl.record.add("%s is lost: it ran at %s from %.3f s after the SIGTERM on, and its channel ended %.3f s after the SIGTERM without an answer",
				id, one.runner, one.began.Sub(term).Seconds(), an.at.Sub(term).Seconds())
		}
	}
	fl.record.add("requests %d, lost %d", len(answers), lost)
	return lost
}
