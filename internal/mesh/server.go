package mesh

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/clementineweir/clementineweir/internal/mesh/meshpb"
	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// maxRelayWait bounds how long a call that is relayed for a peer waits for records.
const maxRelayWait = 500 * time.Millisecond

// Lender lends tokens to peers.
type Lender interface {
	// Lend lends at most the given number of a team's tokens and returns how many it lent.
	Lend(ctx context.Context, team string, tokens int64) int64
	// LendAhead lends a part of this instance's surplus, at most the given number of a team's tokens, to a peer whose requests do not wait yet,
	// and returns how many it lent.
	LendAhead(ctx context.Context, team string, tokens int64) int64
	// AcceptReturn adds, to this instance's grant of the team, tokens that a peer gave back.
	AcceptReturn(team string, tokens int64)
}

// ServerConfig holds the dependencies of a server.
type ServerConfig struct {
	// Topics holds, by name, the topics to which the server relays calls.
	Topics map[string]RelayedTopic
	// Giver lends this instance's tokens to the calling peers and accepts the tokens that they return.
	Giver Lender
	// Permits issues permits to the calling peers.
	Permits PermitIssuer
	// Origins knows which builds began streams.
	Origins OriginHolder
	// Configuration returns the configuration in force if its version is higher than the given one, and the era in which it was read.
	Configuration func(version int64) ([]byte, keyed.Era)
}

type server struct {
	config ServerConfig
}

// NewServer returns the handler for the calls of peers.
func NewServer(config ServerConfig) http.Handler {
	return meshpb.NewMeshServer(&server{config: config})
}

// Newest relays a call for the newest record of each key of a topic.
func (se *server) Newest(ctx context.Context, rq *meshpb.NewestRequest) (*meshpb.PageResponse, error) {
	to, err := se.topic(rq.GetTopic())
	if err != nil {
		return nil, err
	}
	return encodePage(to.Newest(ctx))
}

// Read relays a call for the records of a topic from an offset on.
func (se *server) Read(ctx context.Context, rq *meshpb.ReadRequest) (*meshpb.PageResponse, error) {
	to, err := se.topic(rq.GetTopic())
	if err != nil {
		return nil, err
	}
	return encodePage(to.Read(ctx, rq.GetFrom(), min(maxRelayWait, time.Duration(rq.GetWaitMs())*time.Millisecond)))
}

// Append relays a call that appends records to a topic if it ends at the given offset.
func (se *server) Append(ctx context.Context, rq *meshpb.AppendRequest) (*meshpb.AppendResponse, error) {
	to, err := se.topic(rq.GetTopic())
	if err != nil {
		return nil, err
	}
	end, err := to.Append(ctx, rq.GetAt(), decodeRecords(rq.GetRecords()))
	return &meshpb.AppendResponse{End: end.Offset, Era: int64(end.Era)}, encodeError(err)
}

// Give lends unused tokens of a team to the calling peer; a negative number asks for a loan ahead, see Mesh.BorrowAhead.
func (se *server) Give(ctx context.Context, rq *meshpb.GiveRequest) (*meshpb.GiveResponse, error) {
	if tokens := rq.GetTokens(); tokens < 0 {
		return &meshpb.GiveResponse{Tokens: se.config.Giver.LendAhead(ctx, rq.GetTeam(), -max(tokens, -math.MaxInt64))}, nil
	}
	return &meshpb.GiveResponse{Tokens: se.config.Giver.Lend(ctx, rq.GetTeam(), rq.GetTokens())}, nil
}

// Return accepts tokens that the calling peer returns.
func (se *server) Return(_ context.Context, rq *meshpb.ReturnRequest) (*meshpb.ReturnResponse, error) {
	se.config.Giver.AcceptReturn(rq.GetTeam(), max(0, rq.GetTokens()))
	return &meshpb.ReturnResponse{}, nil
}

func (se *server) topic(name string) (keyed.Topic, error) {
	to, ok := se.config.Topics[name]
	if !ok {
		return nil, twirp.NotFoundError("no topic " + name)
	}
	direct, ok := to.Direct()
	if !ok {
		return nil, twirp.NewError(twirp.ResourceExhausted, "the store is unreachable from this peer, too")
	}
	return direct, nil
}

func encodePage(pg keyed.Page, err error) (*meshpb.PageResponse, error) {
	return &meshpb.PageResponse{Records: encodeRecords(pg.Records), Next: pg.Next, Era: int64(pg.Era)}, encodeError(err)
}

func encodeRecords(list []keyed.Record) []*meshpb.Record {
	out := make([]*meshpb.Record, 0, len(list))
	for _, re := range list {
		out = append(out, &meshpb.Record{Key: re.Key, Value: re.Value})
	}
	return out
}

func decodeRecords(list []*meshpb.Record) []keyed.Record {
	out := make([]keyed.Record, 0, len(list))
	for _, re := range list {
		out = append(out, keyed.Record{Key: re.GetKey(), Value: re.GetValue()})
	}
	return out
}
