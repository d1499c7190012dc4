package oplog

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// joinTimeout is the time to wait for the join to be read back from the log before it is appended again.
const joinTimeout = 2 * time.Second

// joinPollInterval is the pause between two checks for the join in the replica's state.
const joinPollInterval = 10 * time.Millisecond

// Join opens an incarnation and returns its number and the append that opened it.
//
// The caller must already listen on the address in the join: other replicas take the join as proof that an
// earlier process at that address is dead. Join retries until the context ends, and stops early only on
// an encoding error or an entry that cannot be applied. OwnAppend.Start is the time at which Join was called,
// because any of its attempts may be the one that took effect.
func Join(ctx context.Context, rd *Reader, jo record.Join, clock Clock) (int64, OwnAppend, error) {
	cf := rd.config
	start := clock()
	for ctx.Err() == nil {
		if err := rd.CatchUp(ctx); err != nil {
			return 0, OwnAppend{}, err
		}
		jo.Anchor = cf.Replica.Offset()
		data, err := record.EncodeEntry(record.Entry{Join: &jo})
		if err != nil {
			return 0, OwnAppend{}, err
		}
		if _, err := AppendWithRelay(ctx, cf.Log, cf.Relay, data); err != nil {
			cf.Pause(ctx, appendBackoff)
		}
		if num, ok := awaitJoin(ctx, rd, jo.Nonce); ok {
			return num, OwnAppend{Offset: num, Start: start}, nil
		}
	}
	return 0, OwnAppend{}, ErrUnreachable
}

// awaitJoin reads the log until it contains the join, for at most joinTimeout.
func awaitJoin(ctx context.Context, rd *Reader, nonce string) (int64, bool) {
	end := rd.config.Clock() + joinTimeout
	for ctx.Err() == nil && rd.config.Clock() < end {
		if err := rd.Step(ctx, relayPollInterval); err != nil {
			return 0, false
		}
		num, ok := incarnationOf(rd.config.Replica, nonce)
		if ok {
			return num, true
		}
		rd.config.Pause(ctx, joinPollInterval)
	}
	return 0, false
}

func incarnationOf(re *Replica, nonce string) (int64, bool) {
	var (
		num int64
		ok  bool
	)
	re.View(func(st *ledger.State) { num, ok = st.IncarnationOf(nonce) })
	return num, ok
}
