package fakes

import (
	"context"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/clementineweir/clementineweir/internal/plat"
)

// List is an in-memory stand-in for the platform's instance list. It changes only by Set, so a test can let it lag behind the true state.
type List struct {
	mu   sync.Mutex
	list []plat.ListedInstance
}

// NewList returns an empty list.
func NewList() *List { return &List{} }

// Set replaces the list.
func (li *List) Set(list []plat.ListedInstance) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.list = list
}

// Instances returns the list.
func (li *List) Instances(context.Context) ([]plat.ListedInstance, error) {
	li.mu.Lock()
	defer li.mu.Unlock()
	return append([]plat.ListedInstance(nil), li.list...), nil
}

// Register adds the HTTP routes of the list.
func (li *List) Register(ec *echo.Echo) {
	ec.GET(plat.InstancesPath, func(ct echo.Context) error {
		list, _ := li.Instances(ct.Request().Context())
		return ct.JSON(http.StatusOK, plat.ListResponse{Instances: list})
	})
}
