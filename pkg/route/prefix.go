package route

import "github.com/cespare/xxhash/v2"

const (
	// prefixBlockBytes is the length of the prompt blocks that are hashed.
	prefixBlockBytes = 1024
	// maxPrefixBlocks bounds how many blocks of a prompt are compared.
	maxPrefixBlocks = 32
	// maxCachedBlocks bounds how many blocks are remembered for an endpoint.
	maxCachedBlocks = 4096
)

// PrefixHashes returns the hashes of the growing prefixes of a prompt, one a block.
func PrefixHashes(prompt []byte) []uint64 {
	count := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	if count == 0 {
		return nil
	}
	list := make([]uint64, 0, count)
	di := xxhash.New()
	for ix := range count {
		_, _ = di.Write(prompt[ix*prefixBlockBytes : (ix+1)*prefixBlockBytes])
		list = append(list, di.Sum64())
	}
	return list
}

// prefixCache guesses which prompt blocks an endpoint holds; the oldest half is forgotten when it is full.
type prefixCache struct {
	current  map[uint64]struct{}
	previous map[uint64]struct{}
}

func newPrefixCache() prefixCache {
	return prefixCache{current: map[uint64]struct{}{}}
}

// hits returns how many leading blocks are likely to be held.
func (pc *prefixCache) hits(prefix []uint64) int {
	for ix := len(prefix) - 1; ix >= 0; ix-- {
		if pc.has(prefix[ix]) {
			return ix + 1
		}
	}
	return 0
}

func (pc *prefixCache) has(block uint64) bool {
	if _, ok := pc.current[block]; ok {
		return true
	}
	_, ok := pc.previous[block]
	return ok
}

func (pc *prefixCache) add(prefix []uint64) {
	for _, block := range prefix {
		pc.current[block] = struct{}{}
	}
	if len(pc.current) > maxCachedBlocks/2 {
		pc.previous = pc.current
		pc.current = make(map[uint64]struct{}, maxCachedBlocks/2)
	}
}

func (pc *prefixCache) clear() { *pc = newPrefixCache() }
