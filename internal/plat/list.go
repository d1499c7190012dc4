package plat

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"
)

// List is the platform's list of live and leaving instances, which may be out of date.
type List interface {
	// Instances returns all entries of the list.
	Instances(ctx context.Context) ([]ListedInstance, error)
}

type listClient struct {
	config Config
}

// NewList returns a client of the instance list at an HTTP address.
func NewList(config Config) List { return &listClient{config: config} }

func (lc *listClient) Instances(ctx context.Context) ([]ListedInstance, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, lc.config.Address+InstancesPath, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "create the list request")
	}
	var rs ListResponse
	if err := lc.config.do(rq, &rs); err != nil {
		return nil, err
	}
	return rs.Instances, nil
}
