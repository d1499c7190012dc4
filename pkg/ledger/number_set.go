package ledger

import (
	"cmp"
	"slices"
)

// span is a range of ticket numbers, both ends included.
type span struct {
	First int64 `cbor:"first"`
	Last  int64 `cbor:"last"`
}

// numberSet holds ticket numbers as disjoint ascending spans, so that consecutive numbers take no room.
type numberSet []span

func (ns numberSet) has(number int64) bool {
	ix := ns.search(number)
	return ix < len(ns) && ns[ix].First <= number
}

// search returns the index of the first span that ends at or after the number.
func (ns numberSet) search(number int64) int {
	ix, _ := slices.BinarySearchFunc(ns, number, func(sp span, num int64) int {
		return cmp.Compare(sp.Last, num)
	})
	return ix
}

func (ns numberSet) with(number int64) numberSet {
	ix := ns.search(number)
	if ix < len(ns) && ns[ix].First <= number {
		return ns
	}
	joinsBefore := ix > 0 && ns[ix-1].Last+1 == number
	joinsAfter := ix < len(ns) && ns[ix].First == number+1
	switch {
	case joinsBefore && joinsAfter:
		ns[ix-1].Last = ns[ix].Last
		return slices.Delete(ns, ix, ix+1)
	case joinsBefore:
		ns[ix-1].Last = number
		return ns
	case joinsAfter:
		ns[ix].First = number
		return ns
	default:
		return slices.Insert(ns, ix, span{First: number, Last: number})
	}
}
