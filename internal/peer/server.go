package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/clementineweir/clementineweir/internal/peer/peerpb"
	"github.com/clementineweir/clementineweir/pkg/oplog"
)

const (
	relayPageBytes = 1 << 20
	relayTimeout   = 2 * time.Second
)

// Heartbeat is the message in which an instance sends its state to a peer.
type Heartbeat struct {
	// Incarnation is the number of the instance's incarnation.
	Incarnation int64
	// FoldedOffset is the offset up to which the instance has applied the log.
	FoldedOffset int64
	// Draining is set while the instance is not ready: from the start of its drain, and also before it has joined the log.
	Draining bool
	// ReachesLog is set while the instance reads the log directly, not through a peer.
	ReachesLog bool
	// Outstanding holds the number of this instance's requests in flight, by endpoint name.
	Outstanding map[string]int
	// Address is the address at which peers call the instance. It is empty in the response to a heartbeat, since the caller knows it.
	Address string
}

// Node is the instance to which the links and the server belong.
type Node interface {
	// LocalHeartbeat returns the heartbeat to send.
	LocalHeartbeat() Heartbeat
	// HeartbeatReceived is called with each heartbeat of a peer.
	HeartbeatReceived(hb Heartbeat)
}

// ServerConfig holds the dependencies of a server.
type ServerConfig struct {
	// Node is this instance.
	Node Node
	// Log is the log to which calls of peers are relayed.
	Log oplog.Log
	// Replica serves the state and the recent log entries to peers.
	Replica *oplog.Replica
}

type server struct {
	config ServerConfig
}

// NewServer returns the handler for the calls of other instances.
func NewServer(config ServerConfig) http.Handler {
	return peerpb.NewPeerServer(&server{config: config})
}

// Hello records the heartbeat of the calling instance and returns the heartbeat of this instance.
func (se *server) Hello(_ context.Context, rq *peerpb.HelloRequest) (*peerpb.HelloResponse, error) {
	se.config.Node.HeartbeatReceived(Heartbeat{
		Incarnation: rq.GetIncarnation(), FoldedOffset: rq.GetFoldedOffset(), Draining: rq.GetDraining(),
		ReachesLog: rq.GetReachesLog(), Outstanding: decodeOutstanding(rq.GetOutstanding()), Address: rq.GetAddress(),
	})
	hb := se.config.Node.LocalHeartbeat()
	return &peerpb.HelloResponse{
		Incarnation: hb.Incarnation, FoldedOffset: hb.FoldedOffset,
		Draining: hb.Draining, ReachesLog: hb.ReachesLog, Outstanding: encodeOutstanding(hb.Outstanding),
	}, nil
}

func decodeOutstanding(list []*peerpb.Outstanding) map[string]int {
	counts := make(map[string]int, len(list))
	for _, ou := range list {
		counts[ou.GetEndpoint()] = int(ou.GetCount())
	}
	return counts
}

func encodeOutstanding(counts map[string]int) []*peerpb.Outstanding {
	list := make([]*peerpb.Outstanding, 0, len(counts))
	for name, count := range counts {
		list = append(list, &peerpb.Outstanding{Endpoint: name, Count: int32(count)})
	}
	return list
}

// Read returns recent log entries. It fails while this instance itself does not reach the log.
func (se *server) Read(_ context.Context, rq *peerpb.ReadRequest) (*peerpb.ReadResponse, error) {
	if !se.config.Node.LocalHeartbeat().ReachesLog {
		return nil, twirp.NewError(twirp.Unavailable, "this instance does not reach the log")
	}
	pg := se.config.Replica.RecentEntries(rq.GetFrom(), relayPageBytes)
	return &peerpb.ReadResponse{First: pg.First, Next: pg.Next, From: pg.From, Entries: pg.Entries}, nil
}

// Append appends an entry to the log directly, never through another peer.
func (se *server) Append(ctx context.Context, rq *peerpb.AppendRequest) (*peerpb.AppendResponse, error) {
	actx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	offset, err := se.config.Log.Append(actx, rq.GetStream(), rq.GetData())
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "this instance does not reach the log")
	}
	return &peerpb.AppendResponse{Offset: offset}, nil
}

// State returns the encoded state of the replica.
func (se *server) State(context.Context, *peerpb.StateRequest) (*peerpb.StateResponse, error) {
	_, data, err := se.config.Replica.Encode()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.StateResponse{Data: data}, nil
}
