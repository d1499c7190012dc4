package peer

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/internal/peer/peerpb"
	"github.com/clementineweir/clementineweir/pkg/oplog"
)

// relayAttemptTimeout bounds one relayed call on one link, so that a silent link leaves time for another.
const relayAttemptTimeout = 700 * time.Millisecond

// Read returns entries that a peer has folded; it fails with oplog.ErrUnreachable.
func (li *Links) Read(ctx context.Context, from int64) (oplog.Page, error) {
	for _, ln := range li.relayCandidates() {
		rs, err := callWithTimeout(ctx, func(cctx context.Context) (*peerpb.ReadResponse, error) {
			return ln.client.Read(cctx, &peerpb.ReadRequest{From: from})
		})
		if err == nil {
			return oplog.Page{First: rs.GetFirst(), Next: rs.GetNext(), From: rs.GetFrom(), Entries: rs.GetEntries()}, nil
		}
	}
	return oplog.Page{}, oplog.ErrUnreachable
}

// Append adds an entry through a peer; it fails with oplog.ErrUnreachable.
func (li *Links) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	for _, ln := range li.relayCandidates() {
		rs, err := callWithTimeout(ctx, func(cctx context.Context) (*peerpb.AppendResponse, error) {
			return ln.client.Append(cctx, &peerpb.AppendRequest{Stream: stream, Data: data})
		})
		if err == nil {
			return rs.GetOffset(), nil
		}
	}
	return 0, oplog.ErrUnreachable
}

// State returns the encoded state of a peer; it fails with oplog.ErrUnreachable.
func (li *Links) State(ctx context.Context) ([]byte, error) {
	for _, ln := range li.relayCandidates() {
		rs, err := ln.client.State(ctx, &peerpb.StateRequest{})
		if err == nil {
			return rs.GetData(), nil
		}
	}
	return nil, oplog.ErrUnreachable
}

func callWithTimeout[T any](ctx context.Context, fn func(ctx context.Context) (T, error)) (T, error) {
	cctx, cancel := context.WithTimeout(ctx, relayAttemptTimeout)
	defer cancel()
	return fn(cctx)
}
