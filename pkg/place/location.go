package place

// maxLocations is the maximum number of prefixes in one generation of prefixLocations.
const maxLocations = 8192

// prefixLocations maps the ID of a shared prefix (see Request.PrefixID) to the ID of the endpoint to which it was last sent.
//
// It keeps two generations. When the current generation is full, the previous generation is dropped, the current one takes its place, and a
// new one is started.
type prefixLocations struct {
	current  map[uint64]string
	previous map[uint64]string
}

// record sets the endpoint of a prefix; zero stands for no prefix and is ignored.
func (pl *prefixLocations) record(prefix uint64, endpoint string) {
	if prefix == 0 {
		return
	}
	if pl.current == nil || len(pl.current) >= maxLocations {
		pl.current, pl.previous = make(map[uint64]string), pl.current
	}
	pl.current[prefix] = endpoint
}

// find returns the ID of the endpoint of a prefix, if one is known.
func (pl *prefixLocations) find(prefix uint64) (string, bool) {
	if id, ok := pl.current[prefix]; ok {
		return id, true
	}
	id, ok := pl.previous[prefix]
	return id, ok
}
