package place

import (
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// maxScanned is the number of endpoints up to which each decision examines all of them.
	maxScanned = 100
	// localSample and anySample are the numbers of endpoints of a longer list that a decision draws at random from the own failure domain and from all.
	localSample, anySample = 24, 16
	// bestCount is the number of endpoints that a decision on a longer list keeps for the next one. Random samples together with the best of the last
	// sample find nearly the least loaded endpoint, at a small part of the cost of examining all.
	bestCount = 8
	// scanInterval is the minimum time between two decisions on a longer list that examine all endpoints because the sample holds none that is in time.
	scanInterval = 20 * time.Millisecond
	// preferenceCount is the number of prefixes whose preferred endpoint is kept for a long list.
	preferenceCount = 1024
	// maxIndexes bounds the number of indexes that are kept.
	maxIndexes = 8
)

// index holds what decisions on one list of endpoints need and what does not change while the list is the same.
type index struct {
	// list is a copy of the list.
	list []*roster.Endpoint
	// entries are the endpoints of the list with their states, in its order.
	entries []candidate
	// hashes are the hashes of their IDs, and domains the indices of their failure domains in names.
	hashes  []uint64
	domains []int
	names   []string
	// shuffled holds the positions of all entries in random order, and local those of each domain; they are empty for short lists.
	shuffled []int
	local    [][]int
	// preferences are the preferred endpoints of some prefixes in a long list, at the place of their hashes.
	preferences []preference
	// best are the entries with the least cost in the last sample.
	best ranking
	// sampled are the entries of the current sample; stamps marks them with the number of the sample.
	sampled []candidate
	stamps  []uint64
	stamp   uint64
	random  uint64
	// scannedAt is the time of the last decision that examined all endpoints, zero if there was none.
	scannedAt time.Duration
}

// preference is the preferred endpoint of a prefix, in any failure domain or in that with the index; the zero value means that none is known.
type preference struct {
	prefix     uint64
	everywhere bool
	domain     int
	endpoint   *candidate
}

// ranking holds the positions of the entries with the least cost, in ascending order of cost.
type ranking struct {
	positions [bestCount]int
	costs     [bestCount]time.Duration
	count     int
}

// add adds an entry if its cost is among the least.
func (ra *ranking) add(position int, cost time.Duration) {
	if ra.count == bestCount && cost >= ra.costs[bestCount-1] {
		return
	}
	if ra.count < bestCount {
		ra.count++
	}
	at := ra.count - 1
	for ; at > 0 && ra.costs[at-1] > cost; at-- {
		ra.positions[at], ra.costs[at] = ra.positions[at-1], ra.costs[at-1]
	}
	ra.positions[at], ra.costs[at] = position, cost
}

// index returns the index of a list. An index is kept once its list was used twice, since some lists are made for one decision.
func (ba *Balancer) index(now time.Duration, se *plan.Service, list []*roster.Endpoint) *index {
	for _, ix := range ba.indexes {
		if slices.Equal(ix.list, list) {
			return ix
		}
	}
	if ix := ba.latest; ix != nil && slices.Equal(ix.list, list) {
		if len(ba.indexes) >= maxIndexes {
			clear(ba.indexes)
			ba.indexes = ba.indexes[:0]
		}
		ix.shuffle(hashPair(se.Name, ba.fleet.self))
		ba.indexes = append(ba.indexes, ix)
		ba.latest = nil
		return ix
	}
	ix := ba.latest
	if ix == nil {
		ix = &index{}
	}
	*ix = index{list: append(ix.list[:0], list...), entries: ix.entries[:0], hashes: ix.hashes[:0], domains: ix.domains[:0], names: ix.names[:0]}
	for _, en := range list {
		st := ba.state(now, en, se)
		ix.entries = append(ix.entries, candidate{endpoint: en, state: st, position: len(ix.entries)})
		ix.hashes = append(ix.hashes, st.hash)
		ix.domains = append(ix.domains, ix.domain(en.Domain))
	}
	ba.latest = ix
	return ix
}

// dropIndexes drops all indexes, because they refer to states that were replaced or removed.
func (ba *Balancer) dropIndexes() {
	clear(ba.indexes)
	ba.indexes, ba.latest = ba.indexes[:0], nil
}

// domain returns the index of a failure domain in names, which it adds if it is not known.
func (ix *index) domain(name string) int {
	if num := slices.Index(ix.names, name); num >= 0 {
		return num
	}
	ix.names = append(ix.names, name)
	return len(ix.names) - 1
}

// shuffle prepares samples of a long list.
func (ix *index) shuffle(seed uint64) {
	if len(ix.list) <= maxScanned {
		return
	}
	ix.random = seed | 1
	ix.preferences = make([]preference, preferenceCount)
	ix.stamps = make([]uint64, len(ix.list))
	ix.local = make([][]int, len(ix.names))
	for pos := range ix.list {
		ix.shuffled = append(ix.shuffled, pos)
		other := ix.draw(pos + 1)
		ix.shuffled[pos], ix.shuffled[other] = ix.shuffled[other], ix.shuffled[pos]
	}
	for _, pos := range ix.shuffled {
		ix.local[ix.domains[pos]] = append(ix.local[ix.domains[pos]], pos)
	}
}

// draw returns a random number below the limit, by xorshift.
func (ix *index) draw(limit int) int {
	ix.random ^= ix.random << 13
	ix.random ^= ix.random >> 7
	ix.random ^= ix.random << 17
	return int(ix.random >> 1 % uint64(limit))
}

// sample returns some entries of a long list: the preferred endpoint and the holder of the prefix, the best ones of the last sample, and random ones.
func (ix *index) sample(preferred, holder *candidate, domain string) []candidate {
	ix.sampled = ix.sampled[:0]
	ix.stamp++
	if preferred != nil {
		ix.take(preferred.position)
	}
	if holder != nil {
		ix.take(holder.position)
	}
	for _, pos := range ix.best.positions[:ix.best.count] {
		ix.take(pos)
	}
	if num := slices.Index(ix.names, domain); num >= 0 {
		ix.takeSome(ix.local[num], localSample)
	}
	ix.takeSome(ix.shuffled, anySample)
	return ix.sampled
}

// takeSome adds a number of entries from a random place of a shuffled list.
func (ix *index) takeSome(shuffled []int, count int) {
	at := ix.draw(len(shuffled))
	for range min(count, len(shuffled)) {
		ix.take(shuffled[at])
		if at++; at == len(shuffled) {
			at = 0
		}
	}
}

// take adds an entry to the sample, unless it is there.
func (ix *index) take(position int) {
	if ix.stamps[position] != ix.stamp {
		ix.stamps[position] = ix.stamp
		ix.sampled = append(ix.sampled, ix.entries[position])
	}
}

// find returns the entry with the state, or nil.
func (ix *index) find(st *state) *candidate {
	for pos := range ix.entries {
		if ix.entries[pos].state == st {
			return &ix.entries[pos]
		}
	}
	return nil
}

// preferredEndpoint returns the endpoint that all instances prefer for requests with the same shared prefix, by rendezvous hashing, or nil without a shared
// prefix. A prefix shorter than localPrefixTokens has one preferred endpoint in each failure domain. With unlimited, endpoints with a rate limit are left
// out: requests with the same prefix could not follow to them.
func (ix *index) preferredEndpoint(rq *Request, unlimited bool) *candidate {
	if len(rq.Parts) < 2 {
		return nil
	}
	key := preference{prefix: rq.Parts[len(rq.Parts)-2].ID, everywhere: rq.sharedTokens() >= localPrefixTokens, domain: slices.Index(ix.names, rq.Domain)}
	if len(ix.preferences) == 0 || unlimited {
		return ix.highest(key, unlimited)
	}
	kept := &ix.preferences[mix(key.prefix)%preferenceCount]
	if key.endpoint = kept.endpoint; key.endpoint == nil || *kept != key {
		key.endpoint = ix.highest(key, false)
		*kept = key
	}
	return key.endpoint
}

// highest returns the entry with the highest hash for a prefix, or nil if there is none.
func (ix *index) highest(key preference, unlimited bool) *candidate {
	best, highest := -1, uint64(0)
	for pos, hash := range ix.hashes {
		if (!key.everywhere && ix.domains[pos] != key.domain) || (unlimited && ix.entries[pos].state.rateLimit.Limited) {
			continue
		}
		if weight := mix(hash ^ key.prefix); best < 0 || weight > highest {
			best, highest = pos, weight
		}
	}
	if best < 0 {
		return nil
	}
	return &ix.entries[best]
}
