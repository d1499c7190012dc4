package place

// cache guesses which prompt parts an endpoint holds: two generations, of which the older is dropped when the younger is full.
type cache struct {
	current  map[uint64]int64
	previous map[uint64]int64
	tokens   int64
	capacity int64
}

func newCache(capacity int64) cache {
	return cache{current: map[uint64]int64{}, capacity: capacity}
}

// prefixTokens returns the tokens of the leading parts that are likely to be prefixTokens.
func (ca *cache) prefixTokens(parts []Part) int64 {
	sum := int64(0)
	for _, pa := range parts {
		_, young := ca.current[pa.ID]
		_, old := ca.previous[pa.ID]
		if !young && !old {
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
