package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/urfave/cli/v3"

	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/daemon"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one instance; SIGTERM drains and stops it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings file", Required: true},
			&cli.BoolFlag{Name: "verbose", Usage: "log every answered request"},
		},
		Action: func(ctx context.Context, cm *cli.Command) error {
			se, err := loadSettings(cm.String("config"))
			if err != nil {
				return err
			}
			return serve(ctx, se, newLogger(os.Stdout, cm.Bool("verbose")))
		},
	}
}

func loadSettings(path string) (config.Settings, error) {
	se, err := config.Load(path)
	var ps config.Problems
	if errors.As(err, &ps) {
		return se, exitErrorf(ExitInvalid, "the settings in %s have %d mistakes:\n%s", path, len(ps), ps.Error())
	}
	if err != nil {
		return se, exitErrorf(ExitUsage, "the settings cannot be read: %s", err)
	}
	return se, nil
}

func serve(ctx context.Context, se config.Settings, lo logr.Logger) error {
	da, err := daemon.New(daemon.Config{
		Settings: se, Network: daemon.NewSystemNetwork(), Clock: daemon.NewSystemClock(),
		Logger: lo.WithValues("instance", se.Instance.Name),
	})
	if err != nil {
		return exitErrorf(ExitInvalid, "%s", err)
	}
	if err := da.Run(ctx); err != nil {
		return exitErrorf(ExitFailed, "the instance %s stopped: %s", se.Instance.Name, err)
	}
	return nil
}

// newLogger returns a logger that writes JSON lines.
func newLogger(wr io.Writer, verbose bool) logr.Logger {
	level := 0
	if verbose {
		level = 1
	}
	return funcr.NewJSON(func(line string) { _, _ = fmt.Fprintln(wr, line) }, funcr.Options{
		LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00", Verbosity: level,
	})
}
