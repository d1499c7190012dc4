package cmds

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/clementineweir/clementineweir/internal/emul"
)

func labCommand() *cli.Command {
	return &cli.Command{
		Name:  "lab",
		Usage: "simulate loads on emulated model runners, with the routing of the instances and with baselines",
		Commands: []*cli.Command{
			{
				Name:   "list",
				Usage:  "list the scenarios and the policies",
				Action: func(_ context.Context, cm *cli.Command) error { return listLab(cm) },
			},
			{
				Name:  "run",
				Usage: "simulate scenarios and print one table of the results",
				Flags: []cli.Flag{
					&cli.StringSliceFlag{Name: "scenario", Usage: "scenario to simulate; may be repeated (default: all)"},
					&cli.StringSliceFlag{Name: "policy", Usage: "routing policy to simulate; may be repeated (default: all)"},
					&cli.Uint64Flag{Name: "seed", Usage: "seed of the load", Value: 1},
					&cli.BoolFlag{Name: "classes", Usage: "also print a row for each request class"},
				},
				Action: func(_ context.Context, cm *cli.Command) error { return runLab(cm) },
			},
		},
	}
}

func listLab(cm *cli.Command) error {
	for _, sc := range emul.Scenarios() {
		if err := printLine(cm, "%-14s %s", sc.Name, sc.Description); err != nil {
			return err
		}
	}
	return printLine(cm, "policies: %s", strings.Join(emul.Policies(), ", "))
}

func runLab(cm *cli.Command) error {
	scenarios, err := labScenarios(cm.StringSlice("scenario"))
	if err != nil {
		return err
	}
	policies := cm.StringSlice("policy")
	if len(policies) == 0 {
		policies = emul.Policies()
	}
	var list []emul.Result
	for _, sc := range scenarios {
		for _, policy := range policies {
			re, err := emul.Run(emul.Config{Scenario: sc, Policy: policy, Seed: cm.Uint64("seed")})
			if err != nil {
				return exitErrorf(ExitUsage, "%s", err)
			}
			if _, err := fmt.Fprintf(cm.Root().ErrWriter, "simulated %s with %s\n", sc.Name, policy); err != nil {
				return err
			}
			list = append(list, re)
		}
	}
	return emul.Write(cm.Root().Writer, list, cm.Bool("classes"))
}

func labScenarios(names []string) ([]emul.Scenario, error) {
	if len(names) == 0 {
		return emul.Scenarios(), nil
	}
	var list []emul.Scenario
	for _, name := range names {
		sc, ok := emul.FindScenario(name)
		if !ok {
			return nil, exitErrorf(ExitUsage, "there is no scenario %q; clementineweir lab list names them", name)
		}
		list = append(list, sc)
	}
	return list, nil
}
