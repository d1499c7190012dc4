package mesh

import (
	"cmp"
	"context"
	"slices"
	"strconv"

	"github.com/clementineweir/clementineweir/internal/mesh/meshpb"
	"github.com/clementineweir/clementineweir/pkg/origin"
)

// holdersPerStream is the number of instances that hold the origin of each stream, beside the instance that began it.
const holdersPerStream = 2

// OriginHolder knows the origins of streams that this instance began or holds for others.
type OriginHolder interface {
	// Held returns the origin of a stream, and false if it is not known here.
	Held(key origin.Key) (origin.Origin, bool)
}

// Holders returns the names of the instances that hold the origin of a stream, chosen by rendezvous hashing, and then those of all other peers. The
// list may contain this instance among the holders only.
func (me *Mesh) Holders(key origin.Key) (holders, others []string) {
	type ranked struct {
		name   string
		weight uint64
	}
	text := strconv.FormatUint(uint64(key), 16)
	self := me.config.Self.Name
	list := []ranked{{self, memberWeight(self, text)}}
	me.mu.Lock()
	now := me.config.Clock()
	for name, pe := range me.peers {
		if pe.member.HoldsOrigins && now >= pe.backoffUntil {
			list = append(list, ranked{name, memberWeight(name, text)})
		}
	}
	me.mu.Unlock()
	slices.SortFunc(list, func(aa, bb ranked) int {
		return cmp.Or(cmp.Compare(bb.weight, aa.weight), cmp.Compare(aa.name, bb.name))
	})
	for ix, ra := range list {
		switch {
		case ix < holdersPerStream:
			holders = append(holders, ra.name)
		case ra.name != self:
			others = append(others, ra.name)
		}
	}
	return holders, others
}

// AskOrigin asks a peer for the origin of a stream and returns its label, or an empty string if the peer does not know it.
func (me *Mesh) AskOrigin(ctx context.Context, name string, key origin.Key) (string, error) {
	me.mu.Lock()
	pe, ok := me.peers[name]
	me.mu.Unlock()
	if !ok {
		return "", ErrNoPeer
	}
	label := ""
	err := me.tryPeers(ctx, []*peer{pe}, 0, func(ctx context.Context, pe *peer) error {
		rs, err := pe.client.Origin(ctx, &meshpb.OriginRequest{Key: uint64(key)})
		label = rs.GetBuild()
		return err
	})
	return label, err
}

// Origin answers a peer that asks for the origin of a stream.
func (se *server) Origin(_ context.Context, rq *meshpb.OriginRequest) (*meshpb.OriginResponse, error) {
	og, _ := se.config.Origins.Held(origin.Key(rq.GetKey()))
	return &meshpb.OriginResponse{Build: og.Label()}, nil
}
