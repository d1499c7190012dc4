package cmds

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementineweir/clementineweir/internal/admin"
	"github.com/clementineweir/clementineweir/internal/plat"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const (
	publishTimeout = 30 * time.Second
	publishRetry   = 500 * time.Millisecond
	confirmTimeout = 15 * time.Second
)

func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:  "ticket",
		Usage: "check and publish change tickets, show what is in force",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "report every mistake of a ticket file", ArgsUsage: "FILE.json",
				Action: func(_ context.Context, cm *cli.Command) error {
					ti, err := readTicket(cm)
					if err != nil {
						return err
					}
					return printLine(cm, "ticket %d is valid", ti.Number)
				},
			},
			{
				Name: "publish", Usage: "append a ticket to the log and wait until an instance has it in force", ArgsUsage: "FILE.json",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "log", Usage: "URL of the log service", Value: "http://127.0.0.1:9280"},
					operatorFlag(),
				},
				Action: publish,
			},
			{
				Name: "show", Usage: "print the objects in force", Flags: []cli.Flag{operatorFlag()},
				Action: func(ctx context.Context, cm *cli.Command) error {
					var ob admin.Objects
					if err := fetch(ctx, cm, "/objects", &ob); err != nil {
						return err
					}
					return printJSON(cm, ob)
				},
			},
			{
				Name: "history", Usage: "print the audit trail of tickets", Flags: []cli.Flag{operatorFlag(), jsonFlag()},
				Action: history,
			},
		},
	}
}

func readTicket(cm *cli.Command) (ticket.Ticket, error) {
	path, err := singleArgument(cm)
	if err != nil {
		return ticket.Ticket{}, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return ticket.Ticket{}, exitErrorf(ExitUsage, "the ticket cannot be read: %s", err)
	}
	ti, err := ticket.Parse(data)
	var ms ticket.FieldErrors
	if errors.As(err, &ms) {
		return ti, exitErrorf(ExitInvalid, "the ticket in %s has %d mistakes and was not published:\n%s", path, len(ms), ms.Error())
	}
	return ti, err
}

func publish(ctx context.Context, cm *cli.Command) error {
	ti, err := readTicket(cm)
	if err != nil {
		return err
	}
	ti.PublishedAt = time.Now().UTC().Format(time.RFC3339)
	lo := plat.NewLog(plat.Config{Address: cm.String("log"), Client: http.DefaultClient})
	offset, err := PublishTicket(ctx, lo, ti)
	if err != nil {
		return exitErrorf(ExitUnreachable, "it is unknown whether the ticket was published; publishing the same file again is safe: %s", err)
	}
	return confirm(ctx, cm, ti.Number, offset)
}

// PublishTicket appends a ticket to the log and retries on errors. Retries are safe, since a duplicate of an accepted ticket changes nothing.
func PublishTicket(ctx context.Context, lo oplog.Log, ti ticket.Ticket) (int64, error) {
	data, err := record.EncodeEntry(record.Entry{Ticket: &ti})
	if err != nil {
		return 0, err
	}
	pctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for {
		offset, err := lo.Append(pctx, oplog.MainStream, data)
		if err == nil {
			return offset, nil
		}
		select {
		case <-pctx.Done():
			return 0, err
		case <-time.After(publishRetry):
		}
	}
}

// confirm waits until the instance has applied the log entry of the ticket. It prints that the ticket is in force, or returns an error.
func confirm(ctx context.Context, cm *cli.Command, number, offset int64) error {
	end := time.Now().Add(confirmTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		var trail []ledger.AuditEntry
		if err := fetch(ctx, cm, "/audit", &trail); err != nil {
			return exitErrorf(ExitUnreachable, "ticket %d is in the log at offset %d, but no instance confirmed it: %s", number, offset, err)
		}
		if done, err := ticketOutcome(cm, trail, number, offset); done {
			return err
		}
		time.Sleep(publishRetry / 10)
	}
	return exitErrorf(ExitUnreachable, "ticket %d is in the log at offset %d; the instance has not read it yet", number, offset)
}

// ticketOutcome reports whether the audit trail holds the ticket. If so, it prints that the ticket is in force, or returns an error with the
// reason why it was refused.
func ticketOutcome(cm *cli.Command, trail []ledger.AuditEntry, number, offset int64) (bool, error) {
	for _, au := range trail {
		if au.Offset != offset {
			continue
		}
		if au.Accepted || au.Duplicate {
			return true, printLine(cm, "ticket %d is in force (offset %d)", number, offset)
		}
		return true, exitErrorf(ExitRefused, "ticket %d was refused and changed nothing: %s", number, au.RejectReason)
	}
	return false, nil
}

func history(ctx context.Context, cm *cli.Command) error {
	var trail []ledger.AuditEntry
	if err := fetch(ctx, cm, "/audit", &trail); err != nil {
		return err
	}
	if cm.Bool("json") {
		return printJSON(cm, trail)
	}
	for _, au := range trail {
		verdict := "accepted"
		if !au.Accepted {
			verdict = "refused: " + au.RejectReason
		}
		if err := printLine(cm, "offset %d  ticket %d  %s  by %s  %s", au.Offset, au.Number, au.PublishedAt, au.Author, verdict); err != nil {
			return err
		}
		for _, ch := range au.Changes {
			if err := printLine(cm, "    %s", ch); err != nil {
				return err
			}
		}
	}
	return nil
}
