package mesh

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/internal/mesh/meshpb"
	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// directRetry is the time after a failed direct call to the store during which all calls go through peers. It is short, so that grants are
// renewed soon after the store's recovery.
const directRetry = 300 * time.Millisecond

// RelayedTopic is a topic that is also accessible to peers through this instance.
type RelayedTopic interface {
	keyed.Topic
	// Direct returns the topic that calls the store without relays, and whether the last direct call reached the store.
	Direct() (keyed.Topic, bool)
}

// topic calls the store directly, or through a peer if the direct call fails.
type topic struct {
	mesh   *Mesh
	name   string
	direct keyed.Topic
}

// Topic returns a topic of the store whose calls go through peers while the store is unreachable from this instance. direct is the topic
// that calls the store itself.
func (me *Mesh) Topic(name string, direct keyed.Topic) RelayedTopic {
	return &topic{mesh: me, name: name, direct: direct}
}

// tryDirect reports whether to call the store directly, which it does unless a direct call failed within the last directRetry.
func (to *topic) tryDirect() bool {
	at := time.Duration(to.mesh.storeFailedAt.Load())
	return at == 0 || to.mesh.config.Clock()-at >= directRetry
}

// Direct returns the topic that calls the store without relays, and whether the last direct call reached the store.
func (to *topic) Direct() (keyed.Topic, bool) { return to.direct, to.mesh.StoreReachable() }

// recordResult records whether a direct call reached the store; err is the error of the call.
func (to *topic) recordResult(err error) {
	if err == nil || conclusive(err) {
		if to.mesh.storeFailedAt.Swap(0) != 0 {
			to.mesh.announceRegained()
		}
		return
	}
	to.mesh.storeFailedAt.Store(int64(to.mesh.config.Clock()))
}

// Newest returns the newest record of each key, and the offset at which to continue reading.
func (to *topic) Newest(ctx context.Context) (keyed.Page, error) {
	if to.tryDirect() {
		pg, err := to.direct.Newest(ctx)
		to.recordResult(err)
		if err == nil {
			return pg, nil
		}
	}
	return to.pageFromPeers(ctx, 0, func(ctx context.Context, pe *peer) (*meshpb.PageResponse, error) {
		return pe.client.Newest(ctx, &meshpb.NewestRequest{Topic: to.name})
	})
}

// Read returns the records from the offset from. If there are none yet, it waits for one, at most the time wait.
func (to *topic) Read(ctx context.Context, from int64, wait time.Duration) (keyed.Page, error) {
	if to.tryDirect() {
		pg, err := to.direct.Read(ctx, from, wait)
		to.recordResult(err)
		if err == nil || conclusive(err) {
			return pg, err
		}
	}
	wait = min(wait, maxRelayWait)
	return to.pageFromPeers(ctx, wait, func(ctx context.Context, pe *peer) (*meshpb.PageResponse, error) {
		return pe.client.Read(ctx, &meshpb.ReadRequest{Topic: to.name, From: from, WaitMs: wait.Milliseconds()})
	})
}

// pageFromPeers reads a page through the first peer that returns one.
func (to *topic) pageFromPeers(
	ctx context.Context, wait time.Duration, call func(ctx context.Context, pe *peer) (*meshpb.PageResponse, error),
) (keyed.Page, error) {
	var pg keyed.Page
	err := to.mesh.tryPeers(ctx, to.mesh.candidates(nil, maxRelays), wait, func(ctx context.Context, pe *peer) error {
		rs, err := call(ctx, pe)
		if err != nil {
			return err
		}
		pg = keyed.Page{Records: decodeRecords(rs.GetRecords()), Next: rs.GetNext(), Era: keyed.Era(rs.GetEra())}
		return nil
	})
	return pg, err
}

// Append appends records directly, or through a peer if the direct call fails.
//
// An attempt that fails with an unknown outcome may still have appended the records. A later attempt then gets a conflict, because the
// offset is already taken by these records. Such a conflict doesn't show that the append failed. So if no attempt succeeds, Append returns
// the error of the attempt with the unknown outcome instead of the conflict.
func (to *topic) Append(ctx context.Context, at int64, list []keyed.Record) (keyed.End, error) {
	var unclear error
	if to.tryDirect() {
		end, err := to.direct.Append(ctx, at, list)
		to.recordResult(err)
		if err == nil || conclusive(err) {
			return end, err
		}
		unclear = err
	}
	var end keyed.End
	err := to.mesh.tryPeers(ctx, to.mesh.candidates(nil, maxRelays), 0, func(ctx context.Context, pe *peer) error {
		rs, err := pe.client.Append(ctx, &meshpb.AppendRequest{Topic: to.name, At: at, Records: encodeRecords(list)})
		if err != nil {
			if !conclusive(decodeError(err)) {
				unclear = err
			}
			return err
		}
		end = keyed.End{Offset: rs.GetEnd(), Era: keyed.Era(rs.GetEra())}
		return nil
	})
	if err != nil && unclear != nil {
		return keyed.End{}, unclear
	}
	return end, err
}
