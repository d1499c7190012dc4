package route

import "github.com/cespare/xxhash/v2"

const (
	// prefixBlockBytes is the length of the prompt blocks that are hashed.
	prefixBlockBytes = 1024
	// maxPrefixBlocks is the maximum number of leading blocks of a prompt that are hashed.
	maxPrefixBlocks = 32
	// maxCachedBlocks is the assumed size of the prefix cache of an endpoint, in blocks.
	maxCachedBlocks = 4096
)

// PrefixHashes returns a hash for each prefix of the prompt that ends at a block boundary, shortest first.
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

// prefixCache estimates which prompt prefixes an endpoint has cached.
//
// It has two generations of blocks. When the current generation exceeds maxCachedBlocks/2 blocks, it replaces the previous
// generation, and an empty generation becomes the current one.
type prefixCache struct {
	current  map[uint64]struct{}
	previous map[uint64]struct{}
}

func newPrefixCache() prefixCache {
	return prefixCache{current: map[uint64]struct{}{}}
}

// hits returns the number of leading blocks that are probably cached.
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
