package place

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// fleet describes the instances that send requests to the same endpoints.
type fleet struct {
	// instances is the number of instances.
	instances int
	// self is the name of this instance, and others are those of the others as far as they are known.
	self   string
	others []string
	// version is the number of changes of the names.
	version int
	// random draws the moments at which this instance takes room, so that the instances do not take it together.
	random *rand.Rand
	// usage holds the requests of this instance by service.
	usage map[string]*usage
}

// shareCache holds a result of fleet.share, and from what it was computed.
type shareCache struct {
	version, slots, share int
}

// SetMembers sets the names of this instance and of all instances.
func (ba *Balancer) SetMembers(self string, members []string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(members), func(name string) bool { return name == self })
	fl := &ba.fleet
	if fl.self != self {
		fl.random = newRandom(self)
	}
	if fl.self != self || !slices.Equal(fl.others, others) {
		fl.self, fl.others = self, others
		fl.version++
	}
}

// newRandom returns a source of random numbers that differs between instances.
func newRandom(instance string) *rand.Rand { return rand.New(rand.NewPCG(hashPair("", instance), 0)) }

// share returns the number of slots of an endpoint that belong to this instance: its slots are divided among all instances, or among as many instances as it
// has slots, by rendezvous hashing. Without names no slot belongs to anybody.
func (fl *fleet) share(ca *shareCache, endpoint string, slots int) int {
	if fl.version == 0 {
		return 0
	}
	if ca.version == fl.version && ca.slots == slots {
		return ca.share
	}
	own, before := hashPair(endpoint, fl.self), 0
	for _, name := range fl.others {
		if hashPair(endpoint, name) < own {
			before++
		}
	}
	holders := min(len(fl.others)+1, slots)
	share := 0
	if before < holders {
		share = slots / holders
	}
	if before < slots%holders {
		share++
	}
	*ca = shareCache{version: fl.version, slots: slots, share: share}
	return share
}

// hashPair returns the hash by which an endpoint orders the instances.
func hashPair(endpoint, instance string) uint64 {
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(endpoint))
	_, _ = ha.Write([]byte{0})
	_, _ = ha.Write([]byte(instance))
	return mix(ha.Sum64())
}
