package peer

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/internal/peer/peerpb"
	"github.com/clementineweir/clementineweir/pkg/oplog"
)

// relayAttemptTimeout is the timeout of a relayed call on one link; it leaves time to try another link.
const relayAttemptTimeout = 700 * time.Millisecond

// Read returns the entries from an offset on that a peer has applied. It fails with oplog.ErrUnreachable if no peer responds.
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

// Append appends an entry to the log through a peer; it fails with oplog.ErrUnreachable if no peer confirms it.
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

// State returns the encoded state of a peer; it fails with oplog.ErrUnreachable if no peer responds.
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
