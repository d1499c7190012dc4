package ledger

import (
	"cmp"
	"slices"
)

// numberRange is a range of ticket numbers, both ends included.
type numberRange struct {
	First int64 `cbor:"first"`
	Last  int64 `cbor:"last"`
}

// numberSet holds ticket numbers as disjoint ascending ranges, because most numbers are consecutive.
type numberSet []numberRange

func (ns numberSet) has(number int64) bool {
	ix := ns.search(number)
	return ix < len(ns) && ns[ix].First <= number
}

// search returns the index of the first range that ends at or after the number.
func (ns numberSet) search(number int64) int {
	ix, _ := slices.BinarySearchFunc(ns, number, func(nr numberRange, num int64) int {
		return cmp.Compare(nr.Last, num)
	})
	return ix
}

// with returns the set with the number added; it may reuse the memory of the old set.
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
		return slices.Insert(ns, ix, numberRange{First: number, Last: number})
	}
}
