package fakes

import (
	"container/list"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// slotQueue assigns a fixed number of slots to waiting runs: the highest priority first, and in order of arrival within a priority.
type slotQueue struct {
	mu sync.Mutex
	// free is the number of slots that no run has; slots is the total number.
	free  int
	slots int
	// waiting is sorted in the order in which the runs will get slots.
	waiting []*slotWaiter
}

// slotWaiter is a run that waits for a slot or has one.
type slotWaiter struct {
	priority int
	// ready is closed when the run gets its slot.
	ready chan struct{}
}

func newSlotQueue(slots int) *slotQueue { return &slotQueue{free: slots, slots: slots} }

// acquire queues a run; the returned waiter's channel ready is closed once the run has a slot.
func (sq *slotQueue) acquire(priority int) *slotWaiter {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sw := &slotWaiter{priority: priority, ready: make(chan struct{})}
	ix, _ := slices.BinarySearchFunc(sq.waiting, priority, func(other *slotWaiter, prio int) int {
		if other.priority >= prio {
			return -1
		}
		return 1
	})
	sq.waiting = slices.Insert(sq.waiting, ix, sw)
	sq.assignSlots()
	return sw
}

// release frees the slot of the waiter, or removes it from the queue if it has none yet.
func (sq *slotQueue) release(sw *slotWaiter) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	if ix := slices.Index(sq.waiting, sw); ix >= 0 {
		sq.waiting = slices.Delete(sq.waiting, ix, ix+1)
		return
	}
	sq.free++
	sq.assignSlots()
}

func (sq *slotQueue) assignSlots() {
	for sq.free > 0 && len(sq.waiting) > 0 {
		close(sq.waiting[0].ready)
		sq.waiting = sq.waiting[1:]
		sq.free--
	}
}

func (sq *slotQueue) load() (running, queued int) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	return sq.slots - sq.free, len(sq.waiting)
}

// blockBytes is the size of a prompt block in the prefix cache.
const blockBytes = 1024

// blockCache is an LRU cache of prompt blocks. A block is identified by the hash of the prompt from its start to the end of the block.
type blockCache struct {
	mu sync.Mutex
	// size is the maximum number of blocks.
	size int
	// order lists the blocks, the most recently used first.
	order *list.List
	items map[uint64]*list.Element
}

func newBlockCache(size int) *blockCache {
	return &blockCache{size: size, order: list.New(), items: map[uint64]*list.Element{}}
}

// use adds the blocks of a prompt to the cache and returns the number of blocks that were not cached before.
func (bc *blockCache) use(text string) int {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	missing := 0
	di := xxhash.New()
	for start := 0; start+blockBytes <= len(text); start += blockBytes {
		_, _ = di.WriteString(text[start : start+blockBytes])
		missing += bc.touch(di.Sum64())
	}
	return missing
}

// touch marks a block as the most recently used one and returns 1 if it was not cached.
func (bc *blockCache) touch(block uint64) int {
	if el, ok := bc.items[block]; ok {
		bc.order.MoveToFront(el)
		return 0
	}
	bc.items[block] = bc.order.PushFront(block)
	if bc.order.Len() > bc.size {
		last := bc.order.Back()
		bc.order.Remove(last)
		delete(bc.items, last.Value.(uint64))
	}
	return 1
}

func (bc *blockCache) clear() {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	bc.order.Init()
	clear(bc.items)
}
