package place

// maxWhere bounds the subjects whose place is remembered for certain; as many older ones may be remembered, too.
const maxWhere = 8192

// whereabouts remembers to which endpoint the shared parts of a prompt were sent last, in two generations of which the older is dropped
// when the younger is full.
type whereabouts struct {
	young map[uint64]string
	old   map[uint64]string
}

// note remembers the endpoint of a subject; zero is no subject.
func (wh *whereabouts) note(subject uint64, endpoint string) {
	if subject == 0 {
		return
	}
	if wh.young == nil || len(wh.young) >= maxWhere {
		wh.young, wh.old = make(map[uint64]string), wh.young
	}
	wh.young[subject] = endpoint
}

// find returns the endpoint of a subject, if one is remembered.
func (wh *whereabouts) find(subject uint64) (string, bool) {
	if id, ok := wh.young[subject]; ok {
		return id, true
	}
	id, ok := wh.old[subject]
	return id, ok
}
