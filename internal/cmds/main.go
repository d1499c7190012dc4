package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	ExitOK = iota
	// ExitFailed means that the command failed while it ran.
	ExitFailed
	// ExitUsage means that the arguments are wrong.
	ExitUsage
	// ExitInvalid means that a settings file or a ticket has mistakes.
	ExitInvalid
	// ExitRefused means that the ticket was published, but the instances refused it.
	ExitRefused
	// ExitUnreachable means that an instance or the platform did not respond.
	ExitUnreachable
)

// Version is the version of the program.
const Version = "0.1.0"

// exitError is an error with an exit code.
type exitError struct {
	code    int
	message string
}

// Error returns the message, which Main prints.
func (ce *exitError) Error() string { return ce.message }

// exitErrorf returns an error with an exit code and a formatted message.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, args...)}
}

// Main runs the program and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := root().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(os.Stderr, "clementineweir: "+err.Error())
	var ce *exitError
	if errors.As(err, &ce) {
		return ce.code
	}
	return ExitUsage
}

func root() *cli.Command {
	return &cli.Command{
		Name:    "clementineweir",
		Usage:   "a router fleet for prepaid token budgets",
		Version: Version,
		// Main returns the exit code, so the handler must not exit the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), edgeCommand(), devCommand(), labCommand(), emulateCommand(), ticketCommand(), statusCommand(), configCommand(), verifyCommand(),
			{
				Name: "version", Usage: "print the version",
				Action: func(_ context.Context, cm *cli.Command) error {
					_, err := fmt.Fprintln(cm.Root().Writer, "clementineweir "+Version)
					return err
				},
			},
		},
	}
}
