package oplog

import "time"

// maxSent bounds how many own appends are remembered.
const maxSent = 4096

// sentRing remembers own appends by ascending offset; when it is full it keeps every second one of the older half.
type sentRing struct {
	list []OwnAppend
}

func (sr *sentRing) add(se OwnAppend) {
	if len(sr.list) > 0 && sr.list[len(sr.list)-1].Offset >= se.Offset {
		return
	}
	sr.list = append(sr.list, se)
	if len(sr.list) > maxSent {
		sr.thin()
	}
}

// thin drops every second entry of the older half, but never the first.
func (sr *sentRing) thin() {
	half := len(sr.list) / 2
	kept := make([]OwnAppend, 0, len(sr.list))
	for ix, se := range sr.list {
		if ix >= half || ix%2 == 0 {
			kept = append(kept, se)
		}
	}
	sr.list = kept
}

func (sr *sentRing) startOf(offset int64) (time.Duration, bool) {
	for ix := len(sr.list) - 1; ix >= 0; ix-- {
		if sr.list[ix].Offset <= offset {
			return sr.list[ix].Start, true
		}
	}
	return 0, false
}
