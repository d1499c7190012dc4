package cmds

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/oklog/run"
	"github.com/urfave/cli/v3"

	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/fakes"
)

const (
	defaultInstances = 4
	maxInstances     = 64
	// The offsets of the port ranges from the base port. The range of the callers' ports begins at the base port itself.
	operatorPorts   = 1000
	peerPorts       = 1100
	platformPort    = 1200
	endpointPorts   = 1300
	defaultBasePort = 8080
	loopback        = "127.0.0.1"
	readyPoll       = 50 * time.Millisecond
)

func deploymentFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deployment", Usage: "birligi or virtanen", Value: "birligi"},
		&cli.IntFlag{Name: "base-port", Usage: "first port for callers; all other ports are at fixed offsets from it", Value: defaultBasePort},
	}
}

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run instances and stand-ins for everything else in one process",
		Flags: append(deploymentFlags(),
			&cli.IntFlag{Name: "instances", Usage: "number of instances", Value: defaultInstances},
			&cli.BoolFlag{Name: "routed", Usage: "run instances for routed services, on stand-ins of the users' platform"},
			&cli.BoolFlag{Name: "verbose", Usage: "log every answered request"},
		),
		Action: func(ctx context.Context, cm *cli.Command) error {
			la, err := newLayout(cm)
			if err != nil {
				return err
			}
			la.instances = cm.Int("instances")
			if la.instances < 1 || la.instances > maxInstances {
				return exitErrorf(ExitUsage, "--instances must be between 1 and %d", maxInstances)
			}
			if cm.Bool("routed") {
				return runRoutedDev(ctx, cm, la)
			}
			return runDev(ctx, cm, la)
		},
	}
}

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "run only the stand-ins for the platform and the endpoints, with an example ticket in force",
		Flags: deploymentFlags(),
		Action: func(ctx context.Context, cm *cli.Command) error {
			la, err := newLayout(cm)
			if err != nil {
				return err
			}
			return runEmulate(ctx, cm, la)
		},
	}
}

// layout assigns ports to the instances and the stand-ins of a deployment.
type layout struct {
	deployment fakes.Deployment
	basePort   int
	instances  int
}

func newLayout(cm *cli.Command) (layout, error) {
	de, ok := fakes.FindDeployment(cm.String("deployment"))
	if !ok {
		return layout{}, exitErrorf(ExitUsage, "there is no deployment %q: choose birligi or virtanen", cm.String("deployment"))
	}
	base := cm.Int("base-port")
	if base < 1 || base > 65535-endpointPorts-100 {
		return layout{}, exitErrorf(ExitUsage, "--base-port must be between 1 and %d", 65535-endpointPorts-100)
	}
	return layout{deployment: de, basePort: base}, nil
}

// address returns the address of one process: offset selects the port range, counted from the base port, and index the port in it.
func (la layout) address(offset, index int) string {
	return fmt.Sprintf("%s:%d", loopback, la.basePort+offset+index)
}

func (la layout) settings(index int) config.Settings {
	se := config.Defaults()
	se.Instance.Name = fmt.Sprintf("entry-%d", index+1)
	se.Instance.Domain = fakes.Domains[index%len(fakes.Domains)]
	se.Instance.CallerAddress = la.address(0, index)
	se.Instance.OperatorAddress = la.address(operatorPorts, index)
	se.Instance.PeerAddress = la.address(peerPorts, index)
	se.Instance.DrainGrace = 0
	se.Platform.LogAddress = "http://" + la.address(platformPort, 0)
	se.Platform.ListAddress = se.Platform.LogAddress
	se.TLS.PlainText = true
	return se
}

func runEmulate(ctx context.Context, cm *cli.Command, la layout) error {
	em, err := startStandIns(ctx, la)
	if err != nil {
		return err
	}
	if err := printLine(cm, "platform on http://%s, %d endpoints from %s on", la.address(platformPort, 0), len(la.deployment.Endpoints), la.address(endpointPorts, 0)); err != nil {
		return err
	}
	<-ctx.Done()
	em.Close()
	return nil
}

func startStandIns(ctx context.Context, la layout) (*fakes.Emulator, error) {
	em := fakes.NewEmulator(la.deployment, func(index int) string { return la.address(endpointPorts, index) })
	if err := em.Start(la.address(platformPort, 0)); err != nil {
		return nil, exitErrorf(ExitFailed, "a port is in use; choose another --base-port: %s", err)
	}
	if _, err := PublishTicket(ctx, em.Log, em.Ticket()); err != nil {
		em.Close()
		return nil, exitErrorf(ExitFailed, "the example ticket could not be published: %s", err)
	}
	return em, nil
}

func runDev(ctx context.Context, cm *cli.Command, la layout) error {
	em, err := startStandIns(ctx, la)
	if err != nil {
		return err
	}
	defer em.Close()
	lo := newLogger(os.Stderr, cm.Bool("verbose"))
	var gr run.Group
	for ix := range la.instances {
		ictx, cancel := context.WithCancel(ctx)
		se := la.settings(ix)
		gr.Add(func() error { return serve(ictx, se, lo) }, func(error) { cancel() })
	}
	gctx, stop := context.WithCancel(ctx)
	gr.Add(func() error { return printWelcome(gctx, cm, la) }, func(error) { stop() })
	return gr.Run()
}

// printWelcome waits until every instance is ready, prints the addresses and an example call, and then waits for the context to end.
func printWelcome(ctx context.Context, cm *cli.Command, la layout) error {
	if err := waitReady(ctx, la); err != nil {
		return nil
	}
	text := `%d instances for callers on http://%s and the next ports, for operators on http://%s and the next ports.
Try:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"Is the dossier complete?"}]}'

Stop with Ctrl-C.`
	if err := printLine(cm, text, la.instances, la.address(0, 0), la.address(operatorPorts, 0), la.address(0, 0), fakes.ExampleKey, fakes.ExampleModel); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func waitReady(ctx context.Context, la layout) error {
	for ix := range la.instances {
		for !isReady(ctx, la.address(operatorPorts, ix)) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}
