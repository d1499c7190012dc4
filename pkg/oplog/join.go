package oplog

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// joinWait is the time to wait for the own join to be read back before it is appended again.
const joinWait = 2 * time.Second

// joinPoll is the pause between looks for the own join.
const joinPoll = 10 * time.Millisecond

// Join joins the log and returns the incarnation and its append; the caller already listens on the address of the join.
//
// It fails only when the context ends.
func Join(ctx context.Context, rd *Reader, jo record.Join, clock Clock) (int64, OwnAppend, error) {
	cf := rd.config
	first := clock()
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
			return num, OwnAppend{Offset: num, Start: first}, nil
		}
	}
	return 0, OwnAppend{}, ErrUnreachable
}

func awaitJoin(ctx context.Context, rd *Reader, nonce string) (int64, bool) {
	end := rd.config.Clock() + joinWait
	for ctx.Err() == nil && rd.config.Clock() < end {
		if err := rd.Step(ctx, relayInterval); err != nil {
			return 0, false
		}
		num, ok := numberOf(rd.config.Replica, nonce)
		if ok {
			return num, true
		}
		rd.config.Pause(ctx, joinPoll)
	}
	return 0, false
}

func numberOf(re *Replica, nonce string) (int64, bool) {
	var (
		num int64
		ok  bool
	)
	re.View(func(st *ledger.State) { num, ok = st.IncarnationOf(nonce) })
	return num, ok
}
