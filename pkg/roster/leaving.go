package roster

// maxLeft bounds the processes of which it is kept that they have said that they leave.
const maxLeft = 4096

// RecordLeaving records that a process has said itself that it leaves, and reports whether that is new. It gets no new requests from then on; a process that is
// started later under the same ID does.
func (ro *Roster) RecordLeaving(process string) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.left[process] {
		return false
	}
	if len(ro.left) >= maxLeft {
		ro.forgetLeft()
	}
	ro.left[process] = true
	ro.publish()
	return true
}

// forgetLeft forgets the processes that are not registered any more. The caller holds the lock.
func (ro *Roster) forgetLeft() {
	registered := map[string]bool{}
	for _, en := range ro.byID {
		registered[en.Process()] = true
	}
	for process := range ro.left {
		if !registered[process] {
			delete(ro.left, process)
		}
	}
}

// Leaving reports whether the endpoint gets no new requests because its registration says so, or its process has.
func (ro *Roster) Leaving(en *Endpoint) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.leaving(en)
}

// leaving is Leaving for callers that hold the lock.
func (ro *Roster) leaving(en *Endpoint) bool {
	return en.Leaving || (len(ro.left) > 0 && ro.left[en.Process()])
}
