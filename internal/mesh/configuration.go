package mesh

import (
	"context"

	"github.com/clementineweir/clementineweir/internal/mesh/meshpb"
	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// Configuration returns the configuration in force at a peer and the era in which it was read, or no data if its version is not higher than the given
// one.
func (me *Mesh) Configuration(ctx context.Context, name string, version int64) ([]byte, keyed.Era, error) {
	me.mu.Lock()
	pe, ok := me.peers[name]
	me.mu.Unlock()
	if !ok {
		return nil, 0, ErrNoPeer
	}
	rs, err := pe.client.Configuration(ctx, &meshpb.ConfigurationRequest{Version: version})
	if err != nil {
		return nil, 0, err
	}
	return rs.GetData(), keyed.Era(rs.GetEra()), nil
}

// Configuration returns the configuration in force here, if its version is higher than that of the calling peer.
func (se *server) Configuration(_ context.Context, rq *meshpb.ConfigurationRequest) (*meshpb.ConfigurationResponse, error) {
	data, era := se.config.Configuration(rq.GetVersion())
	return &meshpb.ConfigurationResponse{Data: data, Era: int64(era)}, nil
}
