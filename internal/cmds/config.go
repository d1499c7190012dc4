package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/clementineweir/clementineweir/internal/config"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check settings or print an example",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "report every mistake of a settings file", ArgsUsage: "FILE.ini",
				Action: func(_ context.Context, cm *cli.Command) error {
					path, err := singleArgument(cm)
					if err != nil {
						return err
					}
					if _, err := loadSettings(path); err != nil {
						return err
					}
					return printLine(cm, "%s is valid", path)
				},
			},
			{
				Name: "example", Usage: "print a settings file with every setting explained",
				Action: func(_ context.Context, cm *cli.Command) error {
					_, err := fmt.Fprint(cm.Root().Writer, config.Example())
					return err
				},
			},
			{
				Name: "reference", Usage: "print the table of all settings as Markdown",
				Action: func(_ context.Context, cm *cli.Command) error {
					_, err := fmt.Fprint(cm.Root().Writer, config.Reference())
					return err
				},
			},
		},
	}
}

// singleArgument returns the only argument of a command, or a usage error.
func singleArgument(cm *cli.Command) (string, error) {
	if cm.Args().Len() != 1 {
		return "", exitErrorf(ExitUsage, "%s takes exactly one argument: %s", cm.FullName(), cm.ArgsUsage)
	}
	return cm.Args().First(), nil
}

func printLine(cm *cli.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(cm.Root().Writer, format+"\n", args...)
	return err
}
