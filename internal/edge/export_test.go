package edge

import "time"

// FeedLag records a lag as if the probe had measured it several times.
func (ed *Edge) FeedLag(lag time.Duration) {
	for range 10 {
		ed.overload.shedder.RecordLag(ed.config.Clock(), lag)
	}
}

// Shedding reports whether the instance refuses requests.
func (ed *Edge) Shedding() bool { return ed.overload.shedder.State(ed.config.Clock()).Shedding }

// LinkCut reports whether the link to the endpoints counts as cut.
func (ed *Edge) LinkCut() bool { return ed.paths.LinkCut() }

// ShedReason returns why the instance refuses requests.
func (ed *Edge) ShedReason() string { return ed.overload.shedder.State(ed.config.Clock()).Reason }
