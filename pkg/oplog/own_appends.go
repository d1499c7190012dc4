package oplog

import "time"

// maxAppendHistory limits the number of own appends that are kept.
const maxAppendHistory = 4096

// appendHistory holds own appends by ascending offset; when it is full, every second one of the older half is dropped.
type appendHistory struct {
	list []OwnAppend
}

func (ah *appendHistory) add(oa OwnAppend) {
	if len(ah.list) > 0 && ah.list[len(ah.list)-1].Offset >= oa.Offset {
		return
	}
	ah.list = append(ah.list, oa)
	if len(ah.list) > maxAppendHistory {
		ah.thin()
	}
}

// thin drops every second append of the older half, but never the first.
func (ah *appendHistory) thin() {
	half := len(ah.list) / 2
	kept := make([]OwnAppend, 0, len(ah.list))
	for ix, oa := range ah.list {
		if ix >= half || ix%2 == 0 {
			kept = append(kept, oa)
		}
	}
	ah.list = kept
}

// startOf returns the start of the last append whose offset is at most the given one; it returns false if there is none.
func (ah *appendHistory) startOf(offset int64) (time.Duration, bool) {
	for ix := len(ah.list) - 1; ix >= 0; ix-- {
		if ah.list[ix].Offset <= offset {
			return ah.list[ix].Start, true
		}
	}
	return 0, false
}
