package cmds

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/verify"
	"github.com/clementineweir/clementineweir/platform/store"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// storeTimeout bounds reading the configuration in force from the store.
const storeTimeout = 5 * time.Second

func verifyCommand() *cli.Command {
	return &cli.Command{
		Name:      "verify",
		Usage:     "check a configuration of routed services before it is sent",
		ArgsUsage: "FILE.json",
		Description: "Reports mistakes, entries that no request can match, limits that contradict each other, and what differs from the version in force.\n" +
			"The exit code is 3 if the configuration has mistakes.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "a file with the configuration in force"},
			&cli.StringFlag{Name: "store", Usage: "IP:PORT of the platform's store, from which to read the configuration in force"},
		},
		Action: runVerify,
	}
}

func runVerify(ctx context.Context, cm *cli.Command) error {
	path, err := singleArgument(cm)
	if err != nil {
		return err
	}
	next, skipped, err := readPlan(path)
	if err != nil {
		return err
	}
	findings := verify.Check(next)
	for _, name := range skipped {
		findings = append(findings, verify.Finding{
			Severity: verify.Error, Entry: "route " + name, Message: "the route is left out: it has no host, no service or an unknown type",
		})
	}
	inForce, known, err := readInForce(ctx, cm)
	if err != nil {
		return err
	}
	if known {
		findings = append(findings, verify.CheckChange(inForce, next)...)
	}
	errorCount := 0
	for _, fi := range findings {
		if fi.Severity == verify.Error {
			errorCount++
		}
		if err := printLine(cm, "%s: %s: %s", fi.Severity, fi.Entry, fi.Message); err != nil {
			return err
		}
	}
	if known {
		if err := printChanges(cm, verify.Diff(inForce, next)); err != nil {
			return err
		}
	}
	if errorCount > 0 {
		return exitErrorf(ExitInvalid, "%s has %d errors", path, errorCount)
	}
	return printLine(cm, "%s has no errors", path)
}

func printChanges(cm *cli.Command, list []verify.Change) error {
	for _, ch := range list {
		line := ch.Entry + ": " + ch.Old + ch.New
		if ch.Field != "" {
			line = ch.Entry + ": " + ch.Field + ": " + ch.Old + " -> " + ch.New
		}
		if err := printLine(cm, "change: %s", line); err != nil {
			return err
		}
	}
	return nil
}

// readPlan reads a configuration from a file, with the names of the routes that the instances would leave out.
func readPlan(path string) (plan.Config, []string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return plan.Config{}, nil, exitErrorf(ExitUsage, "%s", err)
	}
	pl, skipped, err := wire.DecodePlan(data)
	if err != nil {
		return plan.Config{}, nil, exitErrorf(ExitInvalid, "%s: %s", path, err)
	}
	return pl.Config(), skipped, nil
}

// readInForce reads the configuration in force from the file or the store that the flags name; known is false if they name none.
func readInForce(ctx context.Context, cm *cli.Command) (config plan.Config, known bool, err error) {
	if path := cm.String("against"); path != "" {
		config, _, err := readPlan(path)
		return config, err == nil, err
	}
	address := cm.String("store")
	if address == "" {
		return plan.Config{}, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := store.NewClient(address).Topic(wire.OperatorTopic, 0).Newest(ctx)
	if err != nil {
		return plan.Config{}, false, exitErrorf(ExitUnreachable, "read the configuration in force: %s", err)
	}
	for _, re := range page.Records {
		if re.Key != wire.ConfigurationKey {
			continue
		}
		pl, _, err := wire.DecodePlan(re.Value)
		if err != nil {
			return plan.Config{}, false, exitErrorf(ExitFailed, "the configuration in force: %s", err)
		}
		return pl.Config(), true, nil
	}
	return plan.Config{}, false, exitErrorf(ExitFailed, "the store has no configuration in force")
}
