package place

// maxLocations bounds the subjects whose place is remembered for certain; as many older ones may be remembered, too.
const maxLocations = 8192

// prefixLocations remembers to which endpoint the shared parts of a prompt were sent last, in two generations of which the older is dropped
// when the younger is full.
type prefixLocations struct {
	current  map[uint64]string
	previous map[uint64]string
}

// record remembers the endpoint of a subject; zero is no subject.
func (pl *prefixLocations) record(subject uint64, endpoint string) {
	if subject == 0 {
		return
	}
	if pl.current == nil || len(pl.current) >= maxLocations {
		pl.current, pl.previous = make(map[uint64]string), pl.current
	}
	pl.current[subject] = endpoint
}

// find returns the endpoint of a subject, if one is remembered.
func (pl *prefixLocations) find(subject uint64) (string, bool) {
	if id, ok := pl.current[subject]; ok {
		return id, true
	}
	id, ok := pl.previous[subject]
	return id, ok
}
