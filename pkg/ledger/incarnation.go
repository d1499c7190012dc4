package ledger

import (
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// DeathProof says what proves that the process of an incarnation is dead.
type DeathProof uint8

// The proofs of death.
const (
	// PossiblyAlive means that the process may still run.
	PossiblyAlive DeathProof = iota
	// AddressReused means that another process joined from the same address.
	AddressReused
	// Retired means that an operator's ticket retired the incarnation.
	Retired
)

// Incarnation is an immutable view of one life of an instance.
type Incarnation struct {
	Number   int64
	Instance string
	Domain   string
	Address  string
	Sequence int64
	Anchor   int64
	Proof    DeathProof
}

type incarnation struct {
	Join     record.Join `cbor:"join"`
	Sequence int64       `cbor:"sequence"`
	Anchor   int64       `cbor:"anchor"`
	Proof    DeathProof  `cbor:"proof"`
	budgets  map[string]struct{}
}

// Incarnations returns the open incarnations in ascending order.
func (st *State) Incarnations() []Incarnation {
	list := make([]Incarnation, 0, len(st.incarnations))
	for num, inc := range st.incarnations {
		list = append(list, inc.view(num))
	}
	slices.SortFunc(list, func(aa, bb Incarnation) int { return int(aa.Number - bb.Number) })
	return list
}

// Incarnation returns the open incarnation of the given number.
func (st *State) Incarnation(number int64) (Incarnation, bool) {
	inc, ok := st.incarnations[number]
	if !ok {
		return Incarnation{}, false
	}
	return inc.view(number), true
}

// IncarnationOf returns the number that the join with the given nonce received.
func (st *State) IncarnationOf(nonce string) (int64, bool) {
	return st.nonces.find(nonce)
}

func (inc *incarnation) view(number int64) Incarnation {
	return Incarnation{
		Number: number, Instance: inc.Join.Instance, Domain: inc.Join.Domain, Address: inc.Join.Address,
		Sequence: inc.Sequence, Anchor: inc.Anchor, Proof: inc.Proof,
	}
}

func (st *State) applyJoin(jo record.Join) {
	if _, ok := st.nonces.find(jo.Nonce); ok || jo.Nonce == "" || jo.Anchor >= st.offset {
		st.rejected++
		return
	}
	for _, earlier := range st.Incarnations() {
		if earlier.Address == jo.Address && earlier.Number <= jo.Anchor {
			st.prove(earlier.Number, AddressReused)
		}
	}
	st.nonces.add(jo.Nonce, st.offset)
	st.incarnations[st.offset] = &incarnation{Join: jo, Anchor: st.offset, budgets: map[string]struct{}{}}
	st.emit(Event{Kind: Joined, Incarnation: st.offset})
	if st.config.Retired[st.offset] {
		st.prove(st.offset, Retired)
	}
}

func (st *State) prove(number int64, proof DeathProof) {
	inc, ok := st.incarnations[number]
	if !ok || inc.Proof != PossiblyAlive {
		return
	}
	inc.Proof = proof
	st.emit(Event{Kind: ProvedDead, Incarnation: number})
}

func (st *State) applyBatch(ba record.Batch) {
	inc, ok := st.incarnations[ba.Incarnation]
	if !ok || ba.Sequence != inc.Sequence+1 || ba.Anchor >= st.offset {
		st.rejected++
		return
	}
	inc.Sequence = ba.Sequence
	inc.Anchor = max(inc.Anchor, ba.Anchor)
	for _, re := range ba.Records {
		st.applyRecord(ba.Incarnation, inc, re)
	}
	st.emit(Event{Kind: BatchAccepted, Incarnation: ba.Incarnation, Sequence: ba.Sequence})
}

func (st *State) applyRecord(number int64, inc *incarnation, re record.Record) {
	switch {
	case re.Claim != nil:
		st.applyClaim(number, inc, *re.Claim)
	case re.Return != nil:
		st.applyReturn(number, *re.Return)
	case re.Settle != nil:
		st.applySettle(number, inc, *re.Settle)
	case re.Intent != nil:
		st.applyIntent(number, *re.Intent)
	case re.Outcome != nil:
		st.applyOutcome(number, *re.Outcome)
	case re.Suspect != nil:
		st.applySuspect(*re.Suspect)
	case re.ClearSuspect != nil:
		st.applyAcquit(*re.ClearSuspect)
	case re.Close != nil:
		st.applyClose(number, *re.Close)
	case re.Leave != nil:
		st.close(number, closeExact)
	case re.CheckpointSaved != nil:
		st.saved = max(st.saved, min(re.CheckpointSaved.Offset, st.offset))
	}
}

func (st *State) applyClose(closer int64, cl record.Close) {
	inc, ok := st.incarnations[cl.Incarnation]
	if !ok || cl.Incarnation == closer || inc.Proof == PossiblyAlive {
		return
	}
	if cl.Elapsed < 0 {
		st.close(cl.Incarnation, closeWhole)
		return
	}
	st.close(cl.Incarnation, closeAt(cl.Elapsed))
}

// finalSpend returns what a closed holder counts as spent.
type finalSpend func(ho *holder) int64

func closeExact(ho *holder) int64 { return ho.spent() }

func closeWhole(ho *holder) int64 { return ho.Granted }

func closeAt(elapsed time.Duration) finalSpend {
	bound := elapsed + elapsed/clockRateErrorDivisor
	return func(ho *holder) int64 {
		return max(ho.spent(), min(ho.Granted, ho.Ceiling.At(bound)))
	}
}

// clockRateErrorDivisor states the assumed error of clock rates: one part in 50.
const clockRateErrorDivisor = 50

func (st *State) close(number int64, final finalSpend) {
	inc, ok := st.incarnations[number]
	if !ok {
		return
	}
	names := make([]string, 0, len(inc.budgets))
	for name := range inc.budgets {
		names = append(names, name)
	}
	slices.Sort(names)
	writtenOff := int64(0)
	for _, name := range names {
		writtenOff += st.closeHolder(name, number, final)
	}
	delete(st.incarnations, number)
	st.requests.orphan(number)
	st.emit(Event{Kind: Closed, Incarnation: number, Tokens: writtenOff})
}

// maxNonces bounds how many joins are remembered, so that a late copy of a join opens nothing.
const maxNonces = 16384

// nonceTable remembers the nonces of the latest joins.
type nonceTable struct {
	numbers map[string]int64
	order   []string
}

func newNonceTable() nonceTable { return nonceTable{numbers: map[string]int64{}} }

func (nt *nonceTable) find(nonce string) (int64, bool) {
	num, ok := nt.numbers[nonce]
	return num, ok
}

func (nt *nonceTable) add(nonce string, number int64) {
	nt.numbers[nonce] = number
	nt.order = append(nt.order, nonce)
	if len(nt.order) > maxNonces {
		delete(nt.numbers, nt.order[0])
		nt.order = nt.order[1:]
	}
}
