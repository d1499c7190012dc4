package ledger

import (
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// DeathProof says how the process of an incarnation was proven dead, if it was.
type DeathProof uint8

// The proofs that a process is dead.
const (
	// PossiblyAlive means that there is no proof: the process may still run.
	PossiblyAlive DeathProof = iota
	// AddressReused means that another process listens on the address of the incarnation and joined from it.
	AddressReused
	// Retired means that an operator's ticket retired the incarnation.
	Retired
)

// Incarnation is an immutable view of one run of an instance's process, from its join until it is closed.
//
// Number is the number of the incarnation, which is the log offset of its join. Sequence is the number of the last accepted
// batch, or zero. Anchor is the last offset that the incarnation is known to have applied: the greatest record.Batch.Anchor of
// its accepted batches, at least the offset of the join.
type Incarnation struct {
	Number   int64
	Instance string
	Domain   string
	Address  string
	Sequence int64
	Anchor   int64
	Proof    DeathProof
}

// incarnation is the state of one open incarnation; heldBudgets are the budgets in which it is a holder.
type incarnation struct {
	Join        record.Join `cbor:"join"`
	Sequence    int64       `cbor:"sequence"`
	Anchor      int64       `cbor:"anchor"`
	Proof       DeathProof  `cbor:"proof"`
	heldBudgets map[string]struct{}
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

// IncarnationOf returns the number of the incarnation that joined with the given nonce.
func (st *State) IncarnationOf(nonce string) (int64, bool) {
	return st.nonces.find(nonce)
}

func (inc *incarnation) view(number int64) Incarnation {
	return Incarnation{
		Number: number, Instance: inc.Join.Instance, Domain: inc.Join.Domain, Address: inc.Join.Address,
		Sequence: inc.Sequence, Anchor: inc.Anchor, Proof: inc.Proof,
	}
}

// applyJoin opens an incarnation and marks earlier incarnations of the same address as dead, if the joining process
// had read their joins. A join with a known nonce is a repeated or late copy and is rejected.
func (st *State) applyJoin(jo record.Join) {
	if _, ok := st.nonces.find(jo.Nonce); ok || jo.Nonce == "" || jo.Anchor >= st.offset {
		st.rejected++
		return
	}
	for _, earlier := range st.Incarnations() {
		if earlier.Address == jo.Address && earlier.Number <= jo.Anchor {
			st.markDead(earlier.Number, AddressReused)
		}
	}
	st.nonces.add(jo.Nonce, st.offset)
	st.incarnations[st.offset] = &incarnation{Join: jo, Anchor: st.offset, heldBudgets: map[string]struct{}{}}
	st.emit(Event{Kind: Joined, Incarnation: st.offset})
	if st.config.Retired[st.offset] {
		st.markDead(st.offset, Retired)
	}
}

// markDead stores the proof that the process of an open incarnation is dead, unless a proof is already stored.
func (st *State) markDead(number int64, proof DeathProof) {
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
		st.applyClearSuspect(*re.ClearSuspect)
	case re.Close != nil:
		st.applyClose(number, *re.Close)
	case re.Leave != nil:
		st.close(number, settledSpend)
	case re.CheckpointSaved != nil:
		st.checkpointOffset = max(st.checkpointOffset, min(re.CheckpointSaved.Offset, st.offset))
	}
}

func (st *State) applyClose(closer int64, cl record.Close) {
	inc, ok := st.incarnations[cl.Incarnation]
	if !ok || cl.Incarnation == closer || inc.Proof == PossiblyAlive {
		return
	}
	if cl.Elapsed < 0 {
		st.close(cl.Incarnation, wholeGrant)
		return
	}
	st.close(cl.Incarnation, ceilingSpend(cl.Elapsed))
}

// finalSpend returns the tokens that count as spent by a holder when its incarnation is closed.
type finalSpend func(ho *holder) int64

// settledSpend counts only the tokens that the holder settled; it is used for an incarnation that closes itself.
func settledSpend(ho *holder) int64 { return ho.spent() }

// wholeGrant counts the whole grant; it is used for a dead incarnation if record.Close.Elapsed gives no bound.
func wholeGrant(ho *holder) int64 { return ho.Granted }

// ceilingSpend counts the tokens that the ceiling allowed the holder to spend within the elapsed time, at most its grant.
// The elapsed time is extended by the possible error of the holder's clock.
func ceilingSpend(elapsed time.Duration) finalSpend {
	bound := elapsed + elapsed/clockRateErrorDivisor
	return func(ho *holder) int64 {
		return max(ho.spent(), min(ho.Granted, ho.Ceiling.At(bound)))
	}
}

// clockRateErrorDivisor bounds the difference between the clocks of two machines: while one measures a time span, the other is
// assumed to measure at most span + span / clockRateErrorDivisor.
const clockRateErrorDivisor = 50

func (st *State) close(number int64, final finalSpend) {
	inc, ok := st.incarnations[number]
	if !ok {
		return
	}
	names := make([]string, 0, len(inc.heldBudgets))
	for name := range inc.heldBudgets {
		names = append(names, name)
	}
	slices.Sort(names)
	writtenOff := int64(0)
	for _, name := range names {
		writtenOff += st.closeHolder(name, number, final)
	}
	delete(st.incarnations, number)
	st.requests.orphanPending(number)
	st.emit(Event{Kind: Closed, Incarnation: number, Tokens: writtenOff})
}

// maxNonces limits the join nonces that the state keeps to reject late copies of a join; beyond it the oldest are evicted.
const maxNonces = 16384

// nonceTable maps the nonces of the latest joins to incarnation numbers; order lists the nonces, oldest first.
type nonceTable struct {
	incarnations map[string]int64
	order        []string
}

func newNonceTable() nonceTable { return nonceTable{incarnations: map[string]int64{}} }

func (nt *nonceTable) find(nonce string) (int64, bool) {
	num, ok := nt.incarnations[nonce]
	return num, ok
}

func (nt *nonceTable) add(nonce string, number int64) {
	nt.incarnations[nonce] = number
	nt.order = append(nt.order, nonce)
	if len(nt.order) > maxNonces {
		delete(nt.incarnations, nt.order[0])
		nt.order = nt.order[1:]
	}
}
