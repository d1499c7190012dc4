package place

// cache estimates which prompt parts an endpoint has in its prefix cache. It keeps the parts in two maps, the current and the
// previous generation. When the current generation
// exceeds half of the capacity, the previous generation is dropped, the current one takes its place, and a new one is started.
type cache struct {
	// current and previous map the IDs of the parts to their sizes in tokens.
	current  map[uint64]int64
	previous map[uint64]int64
	// tokens is the sum of the sizes in current, in tokens.
	tokens int64
	// capacity is the size of the endpoint's prefix cache in tokens.
	capacity int64
}

func newCache(capacity int64) cache {
	return cache{current: map[uint64]int64{}, capacity: capacity}
}

// prefixTokens returns the number of tokens in the leading parts, up to the first one that is not in the cache.
func (ca *cache) prefixTokens(parts []Part) int64 {
	sum := int64(0)
	for _, pa := range parts {
		_, inCurrent := ca.current[pa.ID]
		_, inPrevious := ca.previous[pa.ID]
		if !inCurrent && !inPrevious {
			break
		}
		sum += pa.Tokens
	}
	return sum
}

func (ca *cache) add(parts []Part) {
	for _, pa := range parts {
		if _, ok := ca.current[pa.ID]; ok {
			continue
		}
		ca.current[pa.ID] = pa.Tokens
		ca.tokens += pa.Tokens
	}
	if ca.tokens > ca.capacity/2 {
		ca.previous = ca.current
		ca.current = map[uint64]int64{}
		ca.tokens = 0
	}
}
