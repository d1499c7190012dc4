package weir_test

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	weir "github.com/clementineweir/clementineweir"
	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/pkg/escrow"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Example spends from a prepaid budget through an in-memory log.
func Example() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	log := fakes.NewLog()
	paid := ticket.Ticket{Number: 1, Author: "operator", Budgets: []ticket.Budget{{Name: "grants", Team: "t", PrepaidTokens: 100}}}
	data, _ := record.EncodeEntry(record.Entry{Ticket: &paid})
	_, _ = log.Append(ctx, oplog.MainStream, data)

	start := time.Now()
	cl, err := weir.Open(ctx, weir.Config{
		Name: "one", Address: "10.0.0.1:1", Log: log, Budgets: escrow.DefaultConfig(), Logger: logr.Discard(),
		Clock: func() time.Duration { return time.Since(start) },
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	go func() { _ = cl.Run(ctx) }()

	re, err := cl.Reserve(ctx, "grants", 60)
	if err != nil {
		fmt.Println(err)
		return
	}
	cl.Settle(re, escrow.Cost{Key: "request-1", Billed: 40})
	_, err = cl.Reserve(ctx, "grants", 61)
	bu, _ := cl.Budget("grants")
	fmt.Println("billed", bu.Billed, "of", bu.Prepaid, "tokens; 61 more:", err)
	// Output: billed 40 of 100 tokens; 61 more: the prepaid budget does not cover the reservation
}
