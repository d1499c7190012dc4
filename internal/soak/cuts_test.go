package soak

import (
	"math/rand/v2"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// injectCuts cuts single nodes off from all endpoints, and now and then all nodes.
func (wo *world) injectCuts(random *rand.Rand) {
	for ends := time.Now().Add(*lengthFlag); time.Now().Before(ends); {
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		list := []*node{wo.nodes[random.IntN(len(wo.nodes))]}
		if random.IntN(6) == 0 {
			list = wo.nodes
		}
		cut := stand.Cut(1 + random.IntN(int(stand.CutCount)-1))
		for _, no := range list {
			wo.cut(no, cut)
		}
		time.Sleep(time.Duration(200+random.IntN(2500)) * time.Millisecond)
		for _, no := range list {
			wo.cut(no, stand.Uncut)
		}
	}
}
