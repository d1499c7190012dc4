package place

// cache guesses which prompt parts an endpoint holds: two generations, of which the older is dropped when the younger is full.
type cache struct {
	young    map[uint64]int64
	old      map[uint64]int64
	tokens   int64
	capacity int64
}

func newCache(capacity int64) cache {
	return cache{young: map[uint64]int64{}, capacity: capacity}
}

// held returns the tokens of the leading parts that are likely to be held.
func (ca *cache) held(parts []Part) int64 {
	sum := int64(0)
	for _, pa := range parts {
		_, young := ca.young[pa.ID]
		_, old := ca.old[pa.ID]
		if !young && !old {
			break
		}
		sum += pa.Tokens
	}
	return sum
}

func (ca *cache) add(parts []Part) {
	for _, pa := range parts {
		if _, ok := ca.young[pa.ID]; ok {
			continue
		}
		ca.young[pa.ID] = pa.Tokens
		ca.tokens += pa.Tokens
	}
	if ca.tokens > ca.capacity/2 {
		ca.old = ca.young
		ca.young = map[uint64]int64{}
		ca.tokens = 0
	}
}
