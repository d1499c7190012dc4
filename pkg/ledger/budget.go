package ledger

import (
	"slices"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// Budget is an immutable view of a budget; all amounts are in tokens.
type Budget struct {
	// Name is the name of the budget.
	Name string
	// Team is the name of the team to which the budget belongs.
	Team string
	// Prepaid is the total paid so far.
	Prepaid int64
	// Granted is the sum of the grants of open incarnations.
	Granted int64
	// Billed is the number of tokens charged by bills so far.
	Billed int64
	// WrittenOff is the number of tokens that count as spent but are on no bill.
	WrittenOff int64
	// Free is the number of tokens that can still be granted. It is negative if grants and spend exceed Prepaid.
	Free int64
	// Overspent is the spend above the greatest prepaid total that the budget ever had.
	Overspent int64
	// Removed is set if a ticket removed the budget.
	Removed bool
}

// Covers reports whether the budget could pay for the tokens if every unspent grant were returned.
func (bu Budget) Covers(tokens int64) bool {
	return !bu.Removed && bu.Prepaid-bu.Billed-bu.WrittenOff >= tokens
}

// HolderBalance is an immutable view of the grant, spend and ceiling of one open incarnation in a budget, in tokens.
type HolderBalance struct {
	// Incarnation is the number of the incarnation.
	Incarnation int64
	// Granted is the total granted and not returned; tokens that were spent since are included.
	Granted int64
	// Billed and WrittenOff are the tokens that the incarnation has settled in the budget so far.
	Billed     int64
	WrittenOff int64
	// Ceiling is the ceiling of the last accepted settlement.
	Ceiling record.Ceiling
}

// budget holds the amounts of one budget: the spend of closed incarnations, the grants and spend of open ones (the holders),
// and the claims that wait for free tokens.
type budget struct {
	Closed  closedSpend `cbor:"closed"`
	Holders []holder    `cbor:"holders,omitempty"`
	Waiting []waiter    `cbor:"waiting,omitempty"`
}

// closedSpend is the spend of all closed incarnations in a budget.
type closedSpend struct {
	Billed     int64 `cbor:"billed,omitempty"`
	WrittenOff int64 `cbor:"writtenOff,omitempty"`
}

// holder is an open incarnation with a grant of a budget.
type holder struct {
	Incarnation int64          `cbor:"incarnation"`
	Granted     int64          `cbor:"granted"`
	Billed      int64          `cbor:"billed"`
	WrittenOff  int64          `cbor:"writtenOff"`
	Ceiling     record.Ceiling `cbor:"ceiling"`
}

// waiter is an open incarnation that waits for Need tokens of a budget.
type waiter struct {
	Incarnation int64 `cbor:"incarnation"`
	Need        int64 `cbor:"need"`
}

func (ho *holder) spent() int64 { return ho.Billed + ho.WrittenOff }

// charged returns the tokens that the holder takes out of the budget: its grant or its spend, whichever is greater.
func (ho *holder) charged() int64 { return max(ho.Granted, ho.spent()) }

// Budget returns the budget of the given name.
func (st *State) Budget(name string) (Budget, bool) {
	cfg, ok := st.config.Budgets[name]
	if !ok {
		return Budget{}, false
	}
	bu := st.budgets[name]
	vi := Budget{
		Name: name, Team: cfg.Value.Team, Prepaid: cfg.Value.PrepaidTokens, Removed: cfg.Value.Removed,
		Billed: bu.Closed.Billed, WrittenOff: bu.Closed.WrittenOff, Free: st.free(name, bu),
	}
	for ix := range bu.Holders {
		vi.Granted += bu.Holders[ix].Granted
		vi.Billed += bu.Holders[ix].Billed
		vi.WrittenOff += bu.Holders[ix].WrittenOff
	}
	vi.Overspent = max(0, vi.Billed+vi.WrittenOff-st.config.MaxPrepaid[name])
	return vi, true
}

// BudgetNames returns the names of all budgets in ascending order.
func (st *State) BudgetNames() []string {
	names := make([]string, 0, len(st.budgets))
	for name := range st.budgets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Overspent returns the sum of Budget.Overspent over all budgets.
func (st *State) Overspent() int64 {
	sum := int64(0)
	for name := range st.budgets {
		if bu, ok := st.Budget(name); ok {
			sum += bu.Overspent
		}
	}
	return sum
}

// BudgetCount returns the number of budgets.
func (st *State) BudgetCount() int { return len(st.budgets) }

// HolderBalances returns the balances of all open incarnations with a grant of a budget, in ascending order of incarnation.
func (st *State) HolderBalances(name string) []HolderBalance {
	bu, ok := st.budgets[name]
	if !ok {
		return nil
	}
	list := make([]HolderBalance, 0, len(bu.Holders))
	for _, ho := range bu.Holders {
		list = append(list, HolderBalance(ho))
	}
	return list
}

// ClosedSpend returns the tokens of a budget that closed incarnations spent, written-off tokens included.
func (st *State) ClosedSpend(name string) int64 {
	bu, ok := st.budgets[name]
	if !ok {
		return 0
	}
	return bu.Closed.Billed + bu.Closed.WrittenOff
}

// HolderBalance returns the balance of one incarnation in a budget; its amounts are zero if the incarnation has no grant.
func (st *State) HolderBalance(name string, number int64) HolderBalance {
	bu, ok := st.budgets[name]
	if !ok {
		return HolderBalance{Incarnation: number}
	}
	ix, ok := bu.findHolder(number)
	if !ok {
		return HolderBalance{Incarnation: number}
	}
	return HolderBalance(bu.Holders[ix])
}

// Waiting returns the number of tokens in the queued claim of one incarnation on a budget, or zero if none is queued. Claims are
// queued when too few tokens are free. The parameter number is the number of the incarnation.
func (st *State) Waiting(name string, number int64) int64 {
	bu, ok := st.budgets[name]
	if !ok {
		return 0
	}
	for _, wa := range bu.Waiting {
		if wa.Incarnation == number {
			return wa.Need
		}
	}
	return 0
}

// WaitingElsewhere returns the sum of the tokens in the queued claims on a budget, without the claim of the incarnation with the
// number except.
func (st *State) WaitingElsewhere(name string, except int64) int64 {
	bu, ok := st.budgets[name]
	if !ok {
		return 0
	}
	sum := int64(0)
	for _, wa := range bu.Waiting {
		if wa.Incarnation != except {
			sum += wa.Need
		}
	}
	return sum
}

func (st *State) free(name string, bu *budget) int64 {
	cfg := st.config.Budgets[name]
	if cfg.Value.Removed {
		return 0
	}
	free := cfg.Value.PrepaidTokens - bu.Closed.Billed - bu.Closed.WrittenOff
	for ix := range bu.Holders {
		free -= bu.Holders[ix].charged()
	}
	return free
}

func (bu *budget) findHolder(number int64) (int, bool) {
	return slices.BinarySearchFunc(bu.Holders, number, func(ho holder, num int64) int {
		return int(ho.Incarnation - num)
	})
}

// ensureHolder returns the holder of the given incarnation and creates it if it does not exist.
func (bu *budget) ensureHolder(number int64) *holder {
	ix, ok := bu.findHolder(number)
	if !ok {
		bu.Holders = slices.Insert(bu.Holders, ix, holder{Incarnation: number})
	}
	return &bu.Holders[ix]
}

func (bu *budget) removeWaiter(number int64) {
	bu.Waiting = slices.DeleteFunc(bu.Waiting, func(wa waiter) bool { return wa.Incarnation == number })
}

// applyClaim grants min(free, max(Need, min(Want, share))) tokens. The share is the number of free tokens divided by the
// number of open incarnations. If fewer than Need tokens are free, the missing ones are queued.
func (st *State) applyClaim(number int64, inc *incarnation, cl record.Claim) {
	bu, ok := st.budgets[cl.Budget]
	if !ok || cl.Need < 0 || cl.Want < 0 {
		return
	}
	bu.removeWaiter(number)
	free := st.free(cl.Budget, bu)
	share := free / int64(max(1, len(st.incarnations)))
	amount := min(free, max(cl.Need, min(cl.Want, share)))
	if amount > 0 {
		st.grant(cl.Budget, bu, number, inc, amount)
	}
	if missing := cl.Need - max(0, amount); missing > 0 {
		bu.Waiting = append(bu.Waiting, waiter{Incarnation: number, Need: missing})
		st.emit(Event{Kind: ClaimQueued, Incarnation: number, Budget: cl.Budget, Tokens: missing})
	}
}

func (st *State) grant(name string, bu *budget, number int64, inc *incarnation, tokens int64) {
	ho := bu.ensureHolder(number)
	ho.Granted += tokens
	inc.heldBudgets[name] = struct{}{}
	st.emit(Event{Kind: Granted, Incarnation: number, Budget: name, Tokens: tokens})
}

// applyReturn takes returned tokens off the grant, as far as they are unspent, and grants them to waiting incarnations.
func (st *State) applyReturn(number int64, re record.Return) {
	bu, ok := st.budgets[re.Budget]
	if !ok || re.Tokens <= 0 {
		return
	}
	ix, ok := bu.findHolder(number)
	if !ok {
		return
	}
	ho := &bu.Holders[ix]
	ho.Granted -= max(0, min(re.Tokens, ho.Granted-ho.spent()))
	st.grantWaiting(re.Budget, bu)
}

// grantWaiting grants free tokens to the waiting incarnations, first come, first served.
func (st *State) grantWaiting(name string, bu *budget) {
	for len(bu.Waiting) > 0 {
		free := st.free(name, bu)
		if free <= 0 {
			return
		}
		wa := &bu.Waiting[0]
		inc, ok := st.incarnations[wa.Incarnation]
		if !ok {
			bu.Waiting = slices.Delete(bu.Waiting, 0, 1)
			continue
		}
		amount := min(free, wa.Need)
		st.grant(name, bu, wa.Incarnation, inc, amount)
		wa.Need -= amount
		if wa.Need > 0 {
			return
		}
		bu.Waiting = slices.Delete(bu.Waiting, 0, 1)
	}
}

func (st *State) applySettle(number int64, inc *incarnation, se record.Settle) {
	bu, ok := st.budgets[se.Budget]
	if !ok {
		return
	}
	ho := bu.ensureHolder(number)
	inc.heldBudgets[se.Budget] = struct{}{}
	for _, bi := range se.Bills {
		st.applyBill(number, se.Budget, ho, bi)
	}
	ho.WrittenOff += max(0, se.WrittenOff)
	ho.Ceiling = se.Ceiling
}

func (st *State) applyBill(number int64, name string, ho *holder, bi record.Bill) {
	if bi.Tokens < 0 {
		return
	}
	if bi.Deduplicate && !st.requests.markBilled(bi.Key, number) {
		ho.WrittenOff += bi.Tokens
		st.emit(Event{Kind: DuplicateBill, Incarnation: number, Budget: name, Key: bi.Key, Tokens: bi.Tokens})
		return
	}
	ho.Billed += bi.Tokens
}

// closeHolder removes a holder and adds its spend to that of the closed incarnations. If final counts more tokens than the
// holder settled, the difference is written off; closeHolder returns this difference.
func (st *State) closeHolder(name string, number int64, final finalSpend) int64 {
	bu := st.budgets[name]
	bu.removeWaiter(number)
	ix, ok := bu.findHolder(number)
	if !ok {
		return 0
	}
	ho := bu.Holders[ix]
	writtenOff := max(0, final(&ho)-ho.spent())
	bu.Closed.Billed += ho.Billed
	bu.Closed.WrittenOff += ho.WrittenOff + writtenOff
	bu.Holders = slices.Delete(bu.Holders, ix, ix+1)
	st.grantWaiting(name, bu)
	return writtenOff
}
