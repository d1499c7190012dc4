package engine

import (
	"sync"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// outbox collects records for the next batch from code that must not block on LogWriter.Submit.
type outbox struct {
	mu   sync.Mutex
	list []record.Record
}

func (ob *outbox) put(re record.Record) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.list = append(ob.list, re)
}

func (ob *outbox) take() []record.Record {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	list := ob.list
	ob.list = nil
	return list
}
